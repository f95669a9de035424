package bench

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusshore/crocusshore/model"
)

// Profile holds the sizes, rates and latencies of the installation of one user.
type Profile struct {
	Name    string
	Domains []model.Domain
	// OneWayDelay is the time that a message takes between failure domains.
	OneWayDelay time.Duration
	// ConnectTime is how long opening a connection to an instance takes.
	ConnectTime time.Duration
	// ServiceTime is how long a statement occupies a slot of an instance.
	ServiceTime time.Duration
	// ApplyLag is how long a replica takes to apply a write.
	ApplyLag time.Duration
	Groups   []model.GroupName
	// Slots is the number of statements that an instance runs at a time.
	Slots int
	// Connections is the connection limit of an instance.
	Connections int
	Teams       []TeamProfile
	// Entries is the number of entry VMs.
	Entries int
}

// TeamProfile is one team, with its rate limit in requests per second and its burst in requests.
type TeamProfile struct {
	Name  model.TeamName
	Rate  float64
	Burst float64
	// LoadWeight is the weight of the team in the total load.
	LoadWeight float64
}

const (
	teamCount      = 8
	defaultEntries = 13
	// Rates are in requests per second; a team's burst is one second of its rate.
	largeTeamRate = 300
	smallTeamRate = 100
)

// Profiles returns the names of the profiles.
func Profiles() []string { return []string{"Beaulieu", "Ladica"} }

// NewProfile returns a profile by its name.
func NewProfile(name string) (Profile, error) {
	common := Profile{
		Name:        name,
		Domains:     []model.Domain{"East", "North", "West"},
		ConnectTime: 10 * time.Millisecond,
		ServiceTime: 2 * time.Millisecond,
		ApplyLag:    15 * time.Millisecond,
		Entries:     defaultEntries,
	}
	switch name {
	case "Beaulieu":
		common.OneWayDelay, common.Slots, common.Connections = time.Millisecond, 3, 50
		common.Groups = []model.GroupName{"Truss1", "Truss2", "Truss3"}
		common.Teams = teams("Estimators", "ShopFloor", "Dealers")
	case "Ladica":
		common.OneWayDelay, common.Slots, common.Connections = 1500*time.Microsecond, 5, 150
		common.Groups = []model.GroupName{"Trays1", "Trays2", "Trays3"}
		common.Teams = teams("Shops", "Warehouse", "SalesReps")
	default:
		return Profile{}, errors.Newf("the profile %q is not known; use Beaulieu or Ladica", name)
	}
	return common, nil
}

// teams returns the named large teams, filled up to teamCount with small ones.
func teams(large ...model.TeamName) []TeamProfile {
	var list []TeamProfile
	for _, name := range large {
		list = append(list, TeamProfile{Name: name, Rate: largeTeamRate, Burst: largeTeamRate, LoadWeight: 3})
	}
	for i := len(list); i < teamCount; i++ {
		name := model.TeamName(fmt.Sprintf("Branch%d", i))
		list = append(list, TeamProfile{Name: name, Rate: smallTeamRate, Burst: smallTeamRate, LoadWeight: 1})
	}
	return list
}
