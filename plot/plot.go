// Package plot draws what a load run measured over time.
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

// Size of the picture.
const (
	width  = 20 * vg.Centimeter
	height = 24 * vg.Centimeter
	panels = 3
)

// Failover is one failover of a run.
type Failover struct {
	// At is when the fault began, since the start of the run.
	At  time.Duration
	Gap time.Duration
}

// Draw writes a picture of throughput, latency and failover gaps to a file, as
// PNG or SVG by the file's ending.
func Draw(name string, series []load.Second, failovers []Failover) error {
	canvas, err := newCanvas(name)
	if err != nil {
		return err
	}
	made, err := makePanels(series, failovers)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: panels, Cols: 1, PadY: vg.Millimeter}
	target := draw.New(canvas)
	for row, panel := range made {
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

// canvas is a picture that can be written.
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
	return nil, errors.Newf("%s: a plot's name ends in .png or .svg", name)
}

func makePanels(series []load.Second, failovers []Failover) ([]*plot.Plot, error) {
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
	throughput, err := panel("throughput", "requests per second", line{"answered", done}, line{"failed", failed})
	if err != nil {
		return nil, err
	}
	latency, err := panel("latency", "ms", line{"mean", mean}, line{"longest", longest})
	if err != nil {
		return nil, err
	}
	gap, err := scatter("failover gap", "ms", gaps)
	return []*plot.Plot{throughput, latency, gap}, err
}

type line struct {
	name   string
	points plotter.XYs
}

func newPanel(title, unit string) *plot.Plot {
	panel := plot.New()
	panel.Title.Text = title
	panel.X.Label.Text = "seconds"
	panel.Y.Label.Text = unit
	panel.X.Min, panel.Y.Min = 0, 0
	panel.Legend.Top = true
	return panel
}

func panel(title, unit string, lines ...line) (*plot.Plot, error) {
	made := newPanel(title, unit)
	for i, data := range lines {
		if len(data.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(data.points)
		if err != nil {
			return nil, err
		}
		drawn.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(2)}}[i%2]
		made.Add(drawn)
		made.Legend.Add(data.name, drawn)
	}
	return made, nil
}

func scatter(title, unit string, points plotter.XYs) (*plot.Plot, error) {
	made := newPanel(title, unit)
	if len(points) == 0 {
		return made, nil
	}
	drawn, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	made.Add(drawn)
	return made, nil
}
