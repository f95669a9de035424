package limit

import (
	"github.com/crocusshore/crocusshore/quota"
	"github.com/crocusshore/crocusshore/tree"
	"github.com/crocusshore/crocusshore/view"
)

// Part is one of the equal parts of a node's bucket; each part has its own holder.
type Part struct {
	Node  tree.NodePath
	Index int
}

// Shard returns the quota shard of the part.
func (p Part) Shard() int { return view.QuotaShardOf(string(p.Node), p.Index) }

// limit returns the part's share of the limit of its node.
func (p Part) limit(t *tree.Tree) quota.Limit {
	settings := t.Settings(p.Node)
	return quota.Limit{Rate: settings.Rate, Burst: settings.Burst}.Part()
}
