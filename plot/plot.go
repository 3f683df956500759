// Package plot draws the throughput, latency and failovers of a load run over time.
package plot

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/bramleydoor/bramleydoor/load"
)

// Size of the picture and number of its panels, which are one below the other.
const (
	width      = 20 * vg.Centimeter
	height     = 24 * vg.Centimeter
	panelCount = 3
)

// Failover is one failover of a run, caused by a fault.
type Failover struct {
	// At is the time from the start of the run to the start of the fault.
	At time.Duration
	// Gap is the time from the start of the fault until writes are acknowledged again.
	Gap time.Duration
}

// Draw writes a picture of throughput, latency and failover gaps to the file name, as
// PNG or SVG by the extension of the name. Another extension is an error.
func Draw(name string, series []load.Second, failovers []Failover) error {
	canvas, err := newCanvas(name)
	if err != nil {
		return err
	}
	panels, err := newPanels(series, failovers)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: panelCount, Cols: 1, PadY: vg.Millimeter}
	target := draw.New(canvas)
	for row, panel := range panels {
		panel.Draw(tiles.At(target, 0, row))
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return file.Close()
}

// canvas is a picture that can be drawn on and written to a file.
type canvas interface {
	vg.CanvasSizer
	io.WriterTo
}

func newCanvas(name string) (canvas, error) {
	switch filepath.Ext(name) {
	case ".png":
		return vgimg.PngCanvas{Canvas: vgimg.New(width, height)}, nil
	case ".svg":
		return vgsvg.New(width, height), nil
	}
	return nil, errors.Newf("%s: the name of a plot must end in .png or .svg", name)
}

// newPanels returns the panels of throughput (requests per second), latency (ms) and
// failover gaps (ms). Seconds without an answered request have no latency.
func newPanels(series []load.Second, failovers []Failover) ([]*plot.Plot, error) {
	var done, failed, mean, longest, gaps plotter.XYs
	for second, value := range series {
		x := float64(second)
		done = append(done, plotter.XY{X: x, Y: float64(value.Done)})
		failed = append(failed, plotter.XY{X: x, Y: float64(value.Failed)})
		if value.Done > 0 {
			mean = append(mean, plotter.XY{X: x, Y: float64(value.SumUs) / float64(value.Done) / 1000})
			longest = append(longest, plotter.XY{X: x, Y: float64(value.MaxUs) / 1000})
		}
	}
	for _, failover := range failovers {
		gaps = append(gaps, plotter.XY{X: failover.At.Seconds(), Y: float64(failover.Gap.Milliseconds())})
	}
	throughput, err := newLinePanel("throughput", "requests per second", line{"answered", done}, line{"failed", failed})
	if err != nil {
		return nil, err
	}
	latency, err := newLinePanel("latency", "ms", line{"mean", mean}, line{"longest", longest})
	if err != nil {
		return nil, err
	}
	gap, err := newScatterPanel("failover gap", "ms", gaps)
	return []*plot.Plot{throughput, latency, gap}, err
}

// line is one line of a panel.
type line struct {
	name   string
	points plotter.XYs
}

// newPanel returns an empty panel whose x axis is the time in seconds.
func newPanel(title, unit string) *plot.Plot {
	panel := plot.New()
	panel.Title.Text = title
	panel.X.Label.Text = "seconds"
	panel.Y.Label.Text = unit
	panel.X.Min, panel.Y.Min = 0, 0
	panel.Legend.Top = true
	return panel
}

// newLinePanel returns a panel with the lines that have points. Every second line is
// dashed.
func newLinePanel(title, unit string, lines ...line) (*plot.Plot, error) {
	panel := newPanel(title, unit)
	for i, data := range lines {
		if len(data.points) == 0 {
			continue
		}
		plotted, err := plotter.NewLine(data.points)
		if err != nil {
			return nil, err
		}
		plotted.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(2)}}[i%2]
		panel.Add(plotted)
		panel.Legend.Add(data.name, plotted)
	}
	return panel, nil
}

// newScatterPanel returns a panel with a mark for each point.
func newScatterPanel(title, unit string, points plotter.XYs) (*plot.Plot, error) {
	panel := newPanel(title, unit)
	if len(points) == 0 {
		return panel, nil
	}
	plotted, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	panel.Add(plotted)
	return panel, nil
}
