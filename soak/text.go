package soak

import "math/rand/v2"

const (
	// textStream separates the draws of callers' text from those of their statements, which stay the same for a seed.
	textStream = 1 << 20
	// One of plainTextShare texts holds nothing unusual, one of preparedShare statements that could be prepared is, and one of stockShare reads of
	// any item is of the stock.
	plainTextShare, preparedShare, stockShare = 2, 3, 6
)

var (
	// unusualWords holds text without blanks that a message may hold, and that framing at anything but CR LF cuts or takes for messages.
	unusualWords = []string{
		"\n", "\r", "\x00", "\uFFFD", "\n\r", "\r\r", "\u00e9\u4e2d\U0001F642", "\nROLLBACK", "\nQUIT", "\nCOMMIT\n", "\nDONE\n", "\u00a0", "\u2028", "\t",
	}
	// unusualTexts is the same for text that may hold blanks.
	unusualTexts = append([]string{
		" ", "  ", " x  y ", "\nQUERY q9 WRITE b y", "\nDONE 7.inside\nREADY I 3.1\nx", "\nERR BUSY x\nREADY I -\n", "\nREADY I -", "\nROW x",
		" SINCE 9.9 ", "\n QUERY - RESET", "\nSTART a b",
	}, unusualWords...)
)

// texts draws text around what callers need for their checks. A nil texts leaves everything plain.
type texts struct{ random *rand.Rand }

// word returns core with unusual text, but without blanks.
func (t *texts) word(core string) string { return t.around(core, unusualWords) }

// text returns core with unusual text.
func (t *texts) text(core string) string { return t.around(core, unusualTexts) }

// around returns core, in a part of the cases with text before it, behind it or both. The result holds no CR LF, which would end the message.
func (t *texts) around(core string, all []string) string {
	if t == nil || t.random.IntN(plainTextShare) == 0 {
		return core
	}
	before, behind := all[t.random.IntN(len(all))], all[t.random.IntN(len(all))]
	switch t.random.IntN(4) {
	case 0:
		behind = ""
	case 1, 2:
		before = ""
	}
	return withoutLineEnds(before + core + behind)
}

// prepares reports whether the next statement is prepared.
func (t *texts) prepares() bool { return t != nil && t.random.IntN(preparedShare) == 0 }

// choose returns a given item or, in a part of the cases, one of the stock.
func (t *texts) choose(item string, stock []string) string {
	if t == nil || len(stock) == 0 || t.random.IntN(stockShare) > 0 {
		return item
	}
	return stock[t.random.IntN(len(stock))]
}
