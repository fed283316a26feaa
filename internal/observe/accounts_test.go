package observe_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/observe"
	"github.com/chervilladder/chervilladder/internal/session"
)

// Commands are counted by account, and many accounts don't make many series.
func TestCommandsAreCountedByAccount(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	o := observe.New(observe.Config{Output: io.Discard, Metrics: set})
	ended := func(id chervilladder.AccountID, code chervilladder.Code) {
		o.Ended(session.Ended{Account: id, Upstream: "u", Result: chervilladder.Result{Code: code}})
	}
	ended("", chervilladder.CodeNone)
	ended("acme", chervilladder.CodeNone)
	ended("acme", chervilladder.CodeNone)
	ended("acme", chervilladder.CodeBusy)
	ended("acme", chervilladder.CodeDenied)
	for i := range 1000 {
		ended(chervilladder.AccountID(fmt.Sprint("account-", i)), chervilladder.CodeNone)
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	for _, line := range []string{
		`chervilladder_account_commands_total{account="acme",outcome="served"} 2`,
		`chervilladder_account_commands_total{account="acme",outcome="refused"} 1`,
		`chervilladder_account_commands_total{account="acme",outcome="denied"} 1`,
		`chervilladder_account_commands_total{account="(other)",outcome="served"} 801`,
	} {
		is.True(strings.Contains(text.String(), line+"\n"))
	}
	is.Equal(strings.Count(text.String(), `outcome="failed"`), 201)
}
