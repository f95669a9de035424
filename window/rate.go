package window

import "time"

// Rate spaces the statements that one VM sends to a cold instance, so that all VMs together stay within the rate that the settings allow. It is not
// safe for concurrent use.
type Rate struct {
	interval time.Duration
	// next is from when the next statement may be sent.
	next time.Time
}

// RateConfig describes the limit on the statements of all VMs together.
type RateConfig struct {
	// PerSecond is the rate in statements a second, Excess the share by which it may be exceeded, and Slack a number of statements beyond that.
	PerSecond, Excess, Slack float64
	// Senders is the number of VMs that may send to the instance.
	Senders int
}

// NewRate returns the rate of one of the senders, or false if the senders are too many for each to send at all. In any second a sender sends one
// statement more than its interval allows, so that the senders together must fit into the limit with one statement each.
func NewRate(config RateConfig) (*Rate, bool) {
	senders := float64(max(1, config.Senders))
	limit := config.PerSecond*config.Excess + config.Slack
	perSender := min(config.PerSecond/senders, (limit-senders)/senders)
	if perSender <= 0 {
		return nil, false
	}
	return &Rate{interval: time.Duration(float64(time.Second) / perSender)}, true
}

// Allows reports whether a statement may be sent now.
func (r *Rate) Allows(now time.Time) bool { return !now.Before(r.next) }

// Next returns from when the next statement may be sent.
func (r *Rate) Next() time.Time { return r.next }

// Sent records a statement.
func (r *Rate) Sent(now time.Time) { r.next = now.Add(r.interval) }
