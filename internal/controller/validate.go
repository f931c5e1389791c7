package controller

import (
	"time"
)

// validate.go judges what comes from outside: news of other controllers, workers' reports
// and records, which may be damaged or written by mistake. What makes no sense is not
// taken, and told of; nothing ends for it.

// maxRunTime bounds a run time in a record.
const maxRunTime = 366 * 24 * time.Hour

// rejectInput tells of bad input, once a minute for each cause; all of it is counted.
func (e *environment) rejectInput(what, from, why string) {
	e.rejectedInputs++
	if e.rejections.Allow(e.now, what+" "+from+" "+why) {
		e.info("bad input is not taken", "what", what, "from", from, "why", why, "in all", e.rejectedInputs)
	}
}
