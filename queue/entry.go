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
	// MaxTeamWaiting bounds the requests of the team that wait at once in the class.
	MaxTeamWaiting int
	Value          T
}
