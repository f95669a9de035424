package stand

import (
	"time"

	"github.com/crocusshore/crocusshore/model"
)

// record is one entry of an instance's log.
type record struct {
	term       model.Term
	requestID  model.RequestID
	statements []model.Statement
	rows       []string
	appendedAt time.Time
	applyAt    time.Time
}
