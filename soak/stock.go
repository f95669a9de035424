package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/stand"
)

// stockTimeout bounds the time until the stock of a group is committed.
const stockTimeout = 5 * time.Second

// addStock writes items with unusual values to an instance, past the VMs: what a VM does not take from its callers would otherwise never come
// back to it in a row.
func (s *site) addStock(cluster *stand.Cluster, primary model.Instance) error {
	conn, err := cluster.Dial(time.Now().Add(stockTimeout), primary, teamBuilders)
	if err != nil {
		return err
	}
	defer conn.Close()
	commit := model.RequestID(fmt.Sprintf("stock.%s", primary.Group))
	queries := []model.Query{{ID: commit + ".begin", Text: "BEGIN"}}
	var items []string
	for n, text := range unusualTexts {
		item, id := fmt.Sprintf("stock-%s-%d", primary.Group, n), model.RequestID(fmt.Sprintf("%s.%d", commit, n))
		value := withoutLineEnds(text + item + "=1" + text)
		s.history.recordWrite(item, id, value)
		queries = append(queries, model.Query{ID: id, Text: "WRITE " + item + " " + value})
		items = append(items, item)
	}
	queries = append(queries, model.Query{ID: commit, Text: "COMMIT"})
	if _, err := conn.Exchange(time.Now().Add(stockTimeout), queries...); err != nil {
		return err
	}
	for _, item := range items {
		s.history.recordOutcome(item, commit, outcomeAcked)
	}
	s.stock[primary.Group] = items
	return nil
}

// withoutLineEnds returns a text without CR LF, which would end a message.
func withoutLineEnds(text string) string {
	for strings.Contains(text, lineEnd) {
		text = strings.ReplaceAll(text, lineEnd, "\n")
	}
	return text
}
