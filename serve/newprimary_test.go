package serve

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusshore/crocusshore/clock"
	"github.com/crocusshore/crocusshore/model"
	"github.com/crocusshore/crocusshore/sample"
)

// TestPositionOfANewPrimaryIsASample guards against a group that serves nothing for long after a promotion: the new primary had no commit in its term yet,
// so that its positions did not count, all reads went to it for want of a sample, and none of the commits found a slot.
func TestPositionOfANewPrimaryIsASample(t *testing.T) {
	const term = model.Term(2)
	for name, c := range map[string]struct {
		mark   model.Mark
		counts bool
	}{
		"its log ends in the term before":   {mark: model.Mark{Term: 1, Position: 9}, counts: true},
		"it has a commit of its own":        {mark: model.Mark{Term: 2, Position: 10}, counts: true},
		"it is of a later term than leased": {mark: model.Mark{Term: 3, Position: 11}},
		"it has no log":                     {},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{config: Config{Samples: sample.New()}}
			sentAt := clock.Now()
			s.addSample(sentAt, model.Instance{Name: "i-1", Group: "g"}, term, model.Reply{Mark: c.mark})
			covered, found := s.config.Samples.LowestCovering("g", sentAt)
			require.Equal(t, c.counts, found)
			if found {
				require.Equal(t, c.mark, covered.Mark)
			}
		})
	}
}
