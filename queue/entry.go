package queue

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/tree"
)

// Entry is one waiting request.
type Entry[T any] struct {
	Team     model.TeamName
	Class    tree.Class
	Weight   float64
	Deadline time.Time
	// MaxTeamWaiting is how many requests of the team may wait at once.
	MaxTeamWaiting int
	Value          T
}
