package audit

import "github.com/crocusshore/crocusshore/model"

// usableBy returns the entries that VMs use by their names; of entries with the same name, the last one counts.
func usableBy[K comparable, E interface{ usable() bool }](entries []E, name func(E) K) map[K]E {
	byName := make(map[K]E, len(entries))
	for _, e := range entries {
		if e.usable() {
			byName[name(e)] = e
		}
	}
	return byName
}

func routesByDatabase(d Draft) map[string]Route {
	return usableBy(d.Routes, func(r Route) string { return r.Database })
}

func groupsByName(d Draft) map[model.GroupName]Group {
	return usableBy(d.Groups, func(g Group) model.GroupName { return g.Name })
}

func teamsByName(d Draft) map[model.TeamName]Team {
	return usableBy(d.Teams, func(t Team) model.TeamName { return t.Name })
}

// keysByTeam returns the keys of each team. Of teams with the same key, the last one has it.
func keysByTeam(d Draft) map[model.TeamName]map[string]bool {
	owners := map[string]model.TeamName{}
	for _, t := range d.Teams {
		if !t.usable() {
			continue
		}
		for _, key := range t.usableKeys() {
			owners[key.Text] = t.Name
		}
	}
	keys := map[model.TeamName]map[string]bool{}
	for key, team := range owners {
		if keys[team] == nil {
			keys[team] = map[string]bool{}
		}
		keys[team][key] = true
	}
	return keys
}
