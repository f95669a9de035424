package audit

import (
	"slices"
	"strconv"
	"strings"

	"github.com/crocusshore/crocusshore/model"
)

// markMistaken replaces the values that could not be decoded.
func (e Entry) markMistaken(values []value) []value {
	for i, v := range values {
		if slices.Contains(e.Mistaken, v.field) {
			values[i].text = "(invalid)"
		}
	}
	return values
}

func wholeValues(d Draft) []value {
	return d.markMistaken([]value{{TermTxIdle, millis(d.TxIdleTimeout)}})
}

func routeValues(r Route) []value {
	return r.markMistaken([]value{
		{TermName, string(r.Name)},
		{TermConsistency, r.ConsistencyWord},
		{TermRouteGroup, string(r.Group)},
		{TermTimeout, millis(r.Timeout)},
		{TermTargetLatency, millis(r.TargetLatency)},
		{TermPriority, strconv.Itoa(r.Priority)},
		{TermMaxAge, millis(r.MaxAge)},
		{TermPublic, strconv.FormatBool(r.Public)},
		{TermHomeRegions, joinRegions(r.HomeRegions)},
	})
}

func groupValues(g Group) []value {
	return g.markMistaken([]value{
		{TermMaxConnections, strconv.Itoa(g.MaxConnections)},
		{TermReplicated, strconv.FormatBool(g.Replicated)},
		{TermColdRate, number(g.ColdRate)},
		{TermColdTime, number(g.ColdTime.Seconds())},
	})
}

func teamValues(t Team) []value {
	return t.markMistaken([]value{
		{TermRate, number(t.Rate)},
		{TermBurst, number(t.Burst)},
		{TermHomeRegions, joinRegions(t.HomeRegions)},
	})
}

// joinRegions returns home regions as one text. They are sorted, since their order has no meaning.
func joinRegions(regions []model.Region) string {
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		names = append(names, string(region))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
