package observe_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/observe"
	"github.com/chervilladder/chervilladder/internal/session"
)

// Operators must see which work left the data centre and why, in metrics and lines.
func TestPlacesOfCommandsAreCounted(t *testing.T) {
	is := is.New(t)
	var lines, counts bytes.Buffer
	set := metrics.NewSet()
	o := observe.New(observe.Config{Output: &lines, Metrics: set})
	for _, e := range []session.Ended{
		{Upstream: "u"},
		{Upstream: "u", ForwardedTo: "near"},
		{Upstream: "u", ForwardedTo: "far", Left: session.LeftForCost, UpstreamElsewhere: true},
	} {
		o.Ended(e)
	}
	set.WritePrometheus(&counts)
	for _, want := range []string{
		`chervilladder_forwarded_total{left=""} 1`, `chervilladder_forwarded_total{left="cost"} 1`,
		`chervilladder_upstream_commands_total{data_centre="own"} 2`, `chervilladder_upstream_commands_total{data_centre="other"} 1`,
	} {
		is.True(strings.Contains(counts.String(), want))
	}
	is.Equal(strings.Count(lines.String(), `"left":"cost"`), 1)
	is.Equal(strings.Count(lines.String(), `"left"`), 1)
}
