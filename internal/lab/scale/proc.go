package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicks is how many of /proc's ticks a second has; Linux shows 100 everywhere.
const clockTicks = 100

// processStats is what the system says of a process.
type processStats struct {
	cpuSeconds         float64
	rssMB, peakMB      float64
	openFiles, threads int
	// ended: it is no more, or only waits to be noticed.
	exited bool
}

func readProcess(pid int) (processStats, error) {
	var stats processStats
	dir := fmt.Sprintf("/proc/%d/", pid)
	b, err := os.ReadFile(dir + "stat")
	if err != nil {
		return processStats{exited: true}, fmt.Errorf("scale: %w", err)
	}
	// The name, in brackets, may have blanks in it.
	_, rest, _ := strings.Cut(string(b), ") ")
	parts := strings.Fields(rest)
	if len(parts) < 13 {
		return stats, fmt.Errorf("scale: %sstat has %d fields", dir, len(parts))
	}
	stats.exited = parts[0] == "Z" || parts[0] == "X"
	user, _ := strconv.ParseFloat(parts[11], 64)
	system, _ := strconv.ParseFloat(parts[12], 64)
	stats.cpuSeconds = (user + system) / clockTicks
	if stats.exited {
		return stats, nil
	}
	lines, err := readNumericFields(dir + "status")
	if err != nil {
		return stats, err
	}
	stats.rssMB, stats.peakMB, stats.threads = lines["VmRSS"]/1024, lines["VmHWM"]/1024, int(lines["Threads"])
	if names, err := os.ReadDir(dir + "fd"); err == nil {
		stats.openFiles = len(names)
	}
	return stats, nil
}

// readNumericFields reads lines such as "VmRSS:  1234 kB".
func readNumericFields(path string) (map[string]float64, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	out := map[string]float64{}
	for _, line := range strings.Split(string(b), "\n") {
		name, rest, _ := strings.Cut(line, ":")
		if f := strings.Fields(rest); len(f) > 0 {
			if v, err := strconv.ParseFloat(f[0], 64); err == nil {
				out[name] = v
			}
		}
	}
	return out, nil
}
