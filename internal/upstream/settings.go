package upstream

import (
	"context"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
)

// apply gives the connection the session parameters that work needs. It talks
// to the upstream only if they differ from those of the work before.
func (c *Conn) apply(ctx context.Context, want []chervilladder.Setting) error {
	if !c.settingsChanged && slices.Equal(c.settings, want) {
		return nil
	}
	var sql strings.Builder
	sql.WriteString("RESET ALL")
	for _, s := range want {
		// The value is taken as a whole; SET would quote a list as one name.
		sql.WriteString("; SELECT set_config(")
		sql.WriteString(quote(s.Name))
		sql.WriteString(", ")
		sql.WriteString(quote(s.Value))
		sql.WriteString(", false)")
	}
	if _, err := c.queryRow(ctx, sql.String()); err != nil {
		return err
	}
	c.settings, c.settingsChanged = slices.Clone(want), false
	return nil
}
