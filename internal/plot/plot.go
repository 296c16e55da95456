// Package plot draws latency quantiles as self-contained SVG images.
package plot

import (
	"fmt"
	"html"
	"math"
	"strings"
	"time"
)

// Series is one curve: the latency at each quantile of Quantiles.
type Series struct {
	Name      string
	Latencies []time.Duration
}

// Quantiles returns the quantiles, from 0 to 1, at which every series is drawn. They
// are about evenly spaced on a scale of nines, -log10(1-q).
func Quantiles() []float64 {
	return []float64{0, 0.2, 0.37, 0.5, 0.6, 0.7, 0.8, 0.87, 0.9, 0.94, 0.96, 0.98, 0.987, 0.99, 0.994, 0.996, 0.998, 0.999, 0.9995, 0.9999}
}

// Size and margins of the image in pixels; maxNines is the end of the horizontal axis
// in nines (99.99%).
const (
	width           = 860
	height          = 460
	marginLeft      = 70
	marginRight     = 20
	marginTop       = 48
	marginBottom    = 56
	legendRowHeight = 18
	maxNines        = 4.0
)

var colours = []string{"#1f5fbf", "#c4421a", "#2e8b57", "#8a4fbf", "#946c00"}

var shareTicks = []struct {
	share float64
	label string
}{{0, "0"}, {0.5, "50%"}, {0.9, "90%"}, {0.99, "99%"}, {0.999, "99.9%"}, {0.9999, "99.99%"}}

// SVG draws the series on a logarithmic latency scale.
func SVG(title string, series []Series) string {
	low, high := bounds(series)
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", width, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	fmt.Fprintf(&b, `<text x="%d" y="24" font-size="16">%s</text>`+"\n", marginLeft, html.EscapeString(title))
	drawAxes(&b, low, high)
	for i, curve := range series {
		drawSeries(&b, curve, i, low, high)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// bounds returns the powers of ten that enclose all latencies, in milliseconds.
func bounds(series []Series) (low, high float64) {
	low, high = math.Inf(1), math.Inf(-1)
	for _, curve := range series {
		for _, latency := range curve.Latencies {
			low = min(low, milliseconds(latency))
			high = max(high, milliseconds(latency))
		}
	}
	if low > high {
		return 1, 10
	}
	low = math.Pow(10, math.Floor(math.Log10(low)))
	high = math.Pow(10, math.Ceil(math.Log10(high)))
	return low, max(high, low*10)
}

func milliseconds(latency time.Duration) float64 {
	return max(float64(latency)/float64(time.Millisecond), 0.001)
}

func xPosition(share float64) float64 {
	nines := min(-math.Log10(1-share), maxNines)
	return marginLeft + nines/maxNines*(width-marginLeft-marginRight)
}

func yPosition(ms, low, high float64) float64 {
	return height - marginBottom - math.Log10(ms/low)/math.Log10(high/low)*(height-marginTop-marginBottom)
}

func drawAxes(b *strings.Builder, low, high float64) {
	for _, tick := range shareTicks {
		x := xPosition(tick.share)
		fmt.Fprintf(b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ddd"/><text x="%.1f" y="%d" text-anchor="middle">%s</text>`+"\n",
			x, marginTop, x, height-marginBottom, x, height-marginBottom+16, tick.label)
	}
	for ms := low; ms <= high*1.001; ms *= 10 {
		y := yPosition(ms, low, high)
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%g ms</text>`+"\n",
			marginLeft, y, width-marginRight, y, marginLeft-6, y+4, math.Round(ms*1000)/1000)
	}
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="middle">share of requests answered within the latency (from the scheduled arrival)</text>`+"\n", width/2, height-marginBottom+40)
}

func drawSeries(b *strings.Builder, series Series, index int, low, high float64) {
	colour := colours[index%len(colours)]
	points := make([]string, 0, len(series.Latencies))
	for i, share := range Quantiles() {
		if i < len(series.Latencies) {
			points = append(points, fmt.Sprintf("%.1f,%.1f", xPosition(share), yPosition(milliseconds(series.Latencies[i]), low, high)))
		}
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`+"\n", colour, strings.Join(points, " "))
	y := marginTop + legendRowHeight*(index+1)
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="12" height="4" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n",
		marginLeft+12, y-6, colour, marginLeft+30, y, html.EscapeString(series.Name))
}
