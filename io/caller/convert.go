package caller

import (
	"bramleythread/core/config"
	"bramleythread/core/schedule"
	"bramleythread/io/wire"
)

func demand(d wire.Demand) config.Demand { return config.Demand(d) }

func usage(rows []wire.Usage) []schedule.CustomerUsage {
	out := make([]schedule.CustomerUsage, len(rows))
	for i, u := range rows {
		out[i] = schedule.CustomerUsage{
			Customer: u.Customer,
			Shape:    u.Shape,
			Guest:    u.Guest,
			Used:     demand(u.Used),
			Mine:     demand(u.Mine),
		}
	}
	return out
}
