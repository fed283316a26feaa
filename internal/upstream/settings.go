package upstream

import (
	"context"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
)

// apply sets the session parameters that work needs on the connection. It sends nothing
// if they are set already.
func (c *Conn) apply(ctx context.Context, want []chervilladder.Setting) error {
	if !c.settingsChanged && slices.Equal(c.settings, want) {
		return nil
	}
	var sql strings.Builder
	sql.WriteString("RESET ALL")
	for _, s := range want {
		// set_config accepts a quoted list, such as a search_path; SET would take it
		// as one name.
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
