package controller

import (
	"github.com/micahill/micahill/internal/message"
)

// emittedEffects returns the effects of type E that the controller has emitted since its
// effects were last cleared.
func emittedEffects[E message.Effect](c *Controller) []E {
	var matching []E
	for _, e := range c.effects {
		if effect, ok := e.(E); ok {
			matching = append(matching, effect)
		}
	}
	return matching
}
