package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicks is the number of clock ticks a second in /proc. It is 100 on all architectures that
// Linux supports (USER_HZ, see proc(5)).
const clockTicks = 100

// processStats is what /proc shows of a process.
type processStats struct {
	cpuSeconds         float64
	rssMB, peakMB      float64
	openFiles, threads int
	// exited means that the process has exited. Its parent may not have waited for it yet.
	exited bool
}

// readProcess reads the statistics of a process from /proc. If the process does not exist it
// returns an error, and exited is set.
func readProcess(pid int) (processStats, error) {
	var stats processStats
	dir := fmt.Sprintf("/proc/%d/", pid)
	b, err := os.ReadFile(dir + "stat")
	if err != nil {
		return processStats{exited: true}, fmt.Errorf("scale: %w", err)
	}
	// The name of the program precedes the fields, in parentheses, and may contain spaces.
	_, rest, _ := strings.Cut(string(b), ") ")
	parts := strings.Fields(rest)
	if len(parts) < 13 {
		return stats, fmt.Errorf("scale: %sstat has %d fields after the program name, want at least 13", dir, len(parts))
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

// readNumericFields reads a file of lines such as "VmRSS: 1234 kB", and returns the first number
// of each line by the name before the colon.
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
