package controller

import "testing"

// TestGoldenKeys checks that the store keys that functions build never change. A changed key
// would hide records that are already stored.
func TestGoldenKeys(t *testing.T) {
	for want, got := range map[string]string{
		"open/~ops/":               teamPagePrefix("ops"),
		"open/~~7893bac725199fbd/": teamPagePrefix("o p s"),
		"task/job-000412/3":        segmentFormat{tasksPerSegment: 42}.keyOf("job-000412", 3),
		"task/job-000412/s21.3":    segmentFormat{tasksPerSegment: 21, sized: true}.keyOf("job-000412", 3),
		"guest/0/":                 renewalPrefix,
		"move/ops":                 migrationKey("ops"),
	} {
		if got != want {
			t.Errorf("got key %q, want %q", got, want)
		}
	}
}
