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
			Customer:     u.Customer,
			Home:         demand(u.Home),
			Borrowed:     demand(u.Borrowed),
			MineHome:     demand(u.MineHome),
			MineBorrowed: demand(u.MineBorrowed),
		}
	}
	return out
}
