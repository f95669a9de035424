package entry

import (
	"context"

	"github.com/crocusshore/crocusshore/admin"
)

// GetBurn implements admin.Handler.
func (o operatorServer) GetBurn(context.Context) ([]admin.BurnSeries, error) {
	list := []admin.BurnSeries{}
	for _, series := range o.server.burnRecorder.Series() {
		burn := admin.BurnSeries{
			Team:         string(series.Team),
			Route:        string(series.Route),
			Availability: series.Availability,
			LatencyShare: series.LatencyShare,
			Slots:        []admin.BurnSlot{},
		}
		for _, slot := range series.Slots {
			burn.Slots = append(burn.Slots, admin.BurnSlot(slot))
		}
		list = append(list, burn)
	}
	return list, nil
}
