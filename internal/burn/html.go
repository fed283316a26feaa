package burn

import (
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"math"
	"strings"
	"time"
)

//go:embed page.html.tmpl
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"rfc3339": func(t time.Time) string { return t.Format(time.RFC3339) },
	"joinVMs": joinVMs,
	"percent": percent,
	"rate":    rate,
	"ms":      milliseconds,
}).Parse(pageText))

// The dimensions of the plots, in pixels.
const (
	plotWidth  = 480
	plotHeight = 100
	barWidth   = plotWidth / longMinutes
)

// pageClass is the data of a class for the page template.
type pageClass struct {
	ClassReport
	Name    string
	Causes  string
	Budget  string
	Windows []pageWindow
	Bars    []bar
	// BudgetY is the Y coordinate of the share of bad events that the
	// objective allows.
	BudgetY float64
	Times   timePlot
}

// pageWindow is a row of a class's table.
type pageWindow struct {
	Name string
	WindowReport
}

// bar stands for one minute with bad events. Its height is their share.
type bar struct {
	X, Y, Width, Height float64
	Title               string
}

// timePlot is the curve of response times by percentile.
type timePlot struct {
	Points string
	// TargetY is the Y coordinate of the target.
	TargetY float64
	// Top is the time at the top of the plot.
	Top    string
	Labels []label
}

type label struct {
	X    float64
	Text string
}

// HTML returns the report as a self-contained HTML page.
func (r Report) HTML() (string, error) {
	classes := make([]pageClass, 0, len(r.Classes))
	for _, c := range r.Classes {
		classes = append(classes, r.pageClass(c))
	}
	var b strings.Builder
	err := page.Execute(&b, struct {
		Report        Report
		Classes       []pageClass
		Width, Height int
	}{r, classes, plotWidth, plotHeight})
	if err != nil {
		return "", fmt.Errorf("write the burn report: %w", err)
	}
	return b.String(), nil
}

func (r Report) pageClass(c ClassReport) pageClass {
	return pageClass{
		ClassReport: c,
		Name:        c.name(),
		Causes:      c.Long.Counts.causes(),
		Budget:      c.budgetText(),
		Windows:     []pageWindow{{"5 min", c.Short}, {"1 h", c.Long}},
		Bars:        bars(c.snapshot.Minutes, minuteOf(r.Taken)),
		BudgetY:     shareY((100 - c.ObjectivePercent) / 100),
		Times:       newTimePlot(c.snapshot.Long.Times, c.snapshot.Target()),
	}
}

// shareY returns the Y coordinate of a share of bad events. It uses a square-root
// scale, so that small shares are visible.
func shareY(share float64) float64 {
	return round(plotHeight * (1 - math.Sqrt(share)))
}

func bars(minutes []Minute, last int64) []bar {
	var bars []bar
	for _, m := range minutes {
		age := last - m.Minute
		if age < 0 || age >= longMinutes || m.Counts.Bad() == 0 {
			continue
		}
		y := shareY(badPercent(m.Counts) / 100)
		bars = append(bars, bar{
			X: float64((longMinutes - 1 - age) * barWidth), Y: y,
			Width: barWidth - 1, Height: round(plotHeight - y),
			Title: fmt.Sprintf("%d minutes ago: %d events, %s bad (%s)",
				age, m.Counts.Total(), percent(badPercent(m.Counts)), m.Counts.causes()),
		})
	}
	return bars
}

// plotPercents are the percentiles on the X axis, at equal distances.
var plotPercents = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}

func newTimePlot(h Histogram, target time.Duration) timePlot {
	p := timePlot{Top: "-"}
	if h.Count() == 0 {
		return p
	}
	top := max(h.Percentile(100), target)
	y := func(t time.Duration) float64 {
		return round(plotHeight * (1 - float64(t)/float64(top)))
	}
	var points []string
	for i, q := range plotPercents {
		x := round(float64(i) * plotWidth / float64(len(plotPercents)-1))
		points = append(points, fmt.Sprintf("%g,%g", x, y(h.Percentile(q))))
		p.Labels = append(p.Labels, label{X: x, Text: fmt.Sprintf("%g", q)})
	}
	p.Points = strings.Join(points, " ")
	p.TargetY = y(target)
	p.Top = milliseconds(top.Seconds())
	return p
}

func round(x float64) float64 { return math.Round(x*10) / 10 }
