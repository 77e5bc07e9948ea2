package caller

import (
	"bramleythread/core/config"
	"bramleythread/core/schedule"
	"bramleythread/io/wire"
)

func configDemand(d wire.Demand) config.Demand { return config.Demand(d) }

func customerUsage(rows []wire.Usage) []schedule.CustomerUsage {
	out := make([]schedule.CustomerUsage, len(rows))
	for i, u := range rows {
		out[i] = schedule.CustomerUsage{
			Customer: u.Customer,
			Shape:    u.Shape,
			Guest:    u.Guest,
			Used:     configDemand(u.Used),
			Mine:     configDemand(u.Mine),
		}
	}
	return out
}
