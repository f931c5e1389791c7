package scale

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Series is a number of measurements and the fits through them. Later runs read its JSON back.
type Series struct {
	Measurements []*Measurement `json:"rungs"`
	Fits         []Fit          `json:"fits"`
}

// fittedFigures are the quantities of a measurement that are fitted. The value is NaN if a
// measurement does not have the quantity.
var fittedFigures = []struct {
	name  string
	value func(*Measurement) float64
}{
	{"cores of all controllers", func(r *Measurement) float64 { return r.sumRoles("", func(x Role) float64 { return x.Cores }) }},
	{"cores of the leader", func(r *Measurement) float64 { return r.sumRoles("leader", func(x Role) float64 { return x.Cores }) }},
	{"MB of all controllers", func(r *Measurement) float64 { return r.sumRoles("", func(x Role) float64 { return x.RSSMB }) }},
	{"reports/s", func(r *Measurement) float64 { return r.HeartbeatsPerSecond }},
	{"report KB/s of all workers", func(r *Measurement) float64 { return r.HeartbeatKB * float64(r.Workers) }},
	{"orders/s", func(r *Measurement) float64 { return r.CommandsPerSecond }},
	{"requests/s", func(r *Measurement) float64 { return r.StateRPS }},
	{"changes/s", func(r *Measurement) float64 { return r.StateWriteRPS }},
	{"takeover first start s", func(r *Measurement) float64 {
		if r.Takeover == nil {
			return math.NaN()
		}
		return r.Takeover.FirstStartS
	}},
}

// sumRoles returns the sum of a quantity over the controllers whose role starts with role.
func (measurement *Measurement) sumRoles(role string, figure func(Role) float64) float64 {
	out := 0.0
	for _, candidate := range measurement.Roles {
		if strings.HasPrefix(candidate.Role, role) {
			out += figure(candidate)
		}
	}
	return out
}

// Fit fits each quantity to the numbers of workers and starts, or to the number of workers alone
// if the measurements do not determine both slopes.
func (series *Series) Fit() {
	for _, figure := range fittedFigures {
		var both, one [][]float64
		var y []float64
		for _, measurement := range series.Measurements {
			if math.IsNaN(figure.value(measurement)) {
				continue
			}
			workers := float64(measurement.Workers)
			both, one, y = append(both, []float64{workers, measurement.StartsPerSecond}), append(one, []float64{workers}), append(y, figure.value(measurement))
		}
		fit, ok := FitLine(figure.name, both, y)
		if !ok {
			fit, ok = FitLine(figure.name, one, y)
		}
		if ok {
			series.Fits = append(series.Fits, fit)
		}
	}
}

// Print writes the series as tables: the measurements, their controllers, and the fits.
func (series *Series) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKERS\tSTARTS/S\tFOR\tFILL\tREPORTS/S\tREPORT KB/S\tORDERS/S\tREQUESTS/S\tCHANGES/S\t429\tACCEPT P50/P99\tURGENT P50/P99/MAX\tNEVER\tCHANGE P50/MAX\tLOSS\tTAKEOVER\tLAB\tOTHERS\tBROKEN")
	for _, measurement := range series.Measurements {
		takeover := "-"
		if t := measurement.Takeover; t != nil {
			takeover = fmt.Sprintf("%.1f/%.1f", t.ClaimedS, t.FirstStartS)
		}
		fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\t%.1f\t%.3f\t%.1f\t%.1f\t%.1f\t%d\t%.3f/%.3f\t%.2f/%.2f/%.2f\t%d\t%.2f/%.2f\t%.1f\t%s\t%.2f\t%.2f\t%d\n", measurement.Workers, measurement.StartsPerSecond, measurement.ForS, measurement.FillS, measurement.HeartbeatsPerSecond, measurement.HeartbeatKB,
			measurement.CommandsPerSecond, measurement.StateRPS, measurement.StateWriteRPS, measurement.RateLimited, measurement.AcceptLatency.P50, measurement.AcceptLatency.P99, measurement.UrgentStartLatency.P50, measurement.UrgentStartLatency.P99, measurement.UrgentStartLatency.Max, measurement.UrgentStartLatency.Unfinished, measurement.RankingLatency.P50, measurement.RankingLatency.Max, measurement.RecoveryS, takeover, measurement.SimulationCores, measurement.OtherCores, len(measurement.Violations))
	}
	fmt.Fprintln(w, "\nWORKERS\tHOST\tROLE\tTEAMS\tCORES\tMB\tPEAK MB\tFILES\tTHREADS")
	for _, measurement := range series.Measurements {
		for _, role := range measurement.Roles {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%.3f\t%.0f\t%.0f\t%d\t%d\n", measurement.Workers, role.Host, role.Role, role.Teams, role.Cores, role.RSSMB, role.PeakMB, role.Files, role.Threads)
		}
	}
	if len(series.Fits) > 0 {
		fmt.Fprintln(w, "\nFIT OF\tBASE\tFOR 1000 WORKERS\tFOR A START/S\tRESIDUAL\tPOINTS")
	}
	for _, fit := range series.Fits {
		starts := "-"
		if len(fit.Slopes) > 1 {
			starts = fmt.Sprintf("%.4f", fit.Slopes[1])
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t%.3f\t%d\n", fit.Figure, fit.Intercept, 1000*fit.Slopes[0], starts, fit.Residual, fit.Points)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return nil
}
