package model

import "time"

// AnswerPlan says how a stand-in of an instance sends an answer; the zero value sends it once, whole and at once.
type AnswerPlan struct {
	// Delay is the time between the end of the statement and the answer.
	Delay time.Duration
	// With Cut, the answer ends in its middle, and the connection with it.
	Cut bool
	// With Repeat, the answer is sent a second time, RepeatAfter after the first.
	Repeat      bool
	RepeatAfter time.Duration
}
