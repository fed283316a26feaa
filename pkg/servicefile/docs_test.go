package servicefile_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// TestOperatorsPage checks that the service file in the operators' documentation
// is valid, and that the documentation has a table row for each key.
func TestOperatorsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	_, after, _ := strings.Cut(string(page), "```json\n")
	text, _, _ := strings.Cut(after, "```")
	f, err := servicefile.Parse("page", []byte(text))
	is.NoErr(err)
	rendered, err := f.Render()
	is.NoErr(err)
	keys := []string{"roles", "leaving", "idempotent", "accepted-age"} // omitted when empty
	for line := range strings.Lines(string(rendered)) {
		if key, _, ok := strings.Cut(strings.TrimSpace(line), ":"); ok {
			keys = append(keys, strings.Trim(key, `"`))
		}
	}
	for _, key := range keys {
		if !strings.Contains(string(page), "| `"+key+"` |") {
			t.Errorf("the page has no row for %s", key)
		}
	}
}
