package controller

import (
	"github.com/micahill/micahill/internal/message"
)

// emittedEffects are the effects of one kind that the controller has emitted since its
// effects were last cleared.
func emittedEffects[E message.Effect](c *Controller) []E {
	var out []E
	for _, e := range c.effects {
		if x, is := e.(E); is {
			out = append(out, x)
		}
	}
	return out
}
