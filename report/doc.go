// Package report counts requests against the service-level objectives of teams and routes, and shows as text or HTML how fast they use
// up their error budgets.
package report
