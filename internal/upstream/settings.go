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
		sql.WriteString("; SET ")
		sql.WriteString(s.Name)
		sql.WriteString(" = ")
		sql.WriteString(quote(s.Value))
	}
	if _, err := c.queryRow(ctx, sql.String()); err != nil {
		return err
	}
	c.settings, c.settingsChanged = slices.Clone(want), false
	return nil
}
