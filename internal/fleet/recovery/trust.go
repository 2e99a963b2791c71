package recovery

import (
	"errors"
	"fmt"
	"time"
)

// Fact is a kind of stored fact from a previous incarnation. TrustRules has the rule for each.
type Fact uint8

// The values of Fact, in the order of TrustRules.
const (
	FactIdentity Fact = iota
	FactEndpoints
	FactWorkerStarts
	FactCapacity
	FactSizes
	FactBackoffs
	FactDrains
	FactManualDrain
	FactKeys
	FactNonIdempotent
	FactQuotas
	FactWarmupSends
	FactSettings
	factCount
)

// TrustRule defines whether facts of one kind survive a power loss, and when a stored fact is trusted. The text fields
// are documentation.
type TrustRule struct {
	Fact                Fact
	Name                string        // used in logs
	Stored              string        // storage location and time of durability, or neverStored
	MaxAge              time.Duration // maximum age to be trusted, 0 for no limit
	NeedsClock          bool          // its age depends on the wall clock: not trusted after the clock was set back
	SurvivesFleetOutage bool          // still valid after an outage of all dispatchers and workers
	CheckedWith         string        // sources that may have more recent data
	Default             string        // the value assumed if the fact is not trusted
	IfWrong             string        // the effect of trusting a wrong fact
}

// neverStored is the Stored text of facts that are not written to disk.
const neverStored = "not at all"

// survivesPowerLoss reports whether facts of this kind are written to disk.
func (r *TrustRule) survivesPowerLoss() bool { return r.Stored != neverStored }

// TrustRules holds the rule for each kind of fact, indexed by Fact: whether it survives a power loss, and when it is
// trusted. docs/recovery.md has a row for each rule, in the same order.
//
// fleet.Node applies CheckTrust to the facts that it restores into the balancer: capacity, sizes, backoffs and quotas.
// The other rules are applied by the readers of the facts, such as checkOwnIncarnation for the identity and Keys.Find
// for keys.
var TrustRules = [factCount]TrustRule{
	{
		Fact: FactIdentity, Name: "name and incarnation", Stored: "life.a and life.b in turn, synced before the first message",
		SurvivesFleetOutage: true,
		CheckedWith:         "the name in the configuration; the highest incarnation of that name that peers know",
		Default:             "one above the highest incarnation that peers know, or 1",
		IfWrong:             "peers report the higher incarnation, and this one is raised above it",
	},
	{
		Fact: FactEndpoints, Name: "endpoint list", Stored: "facts, every interval",
		SurvivesFleetOutage: true,
		CheckedWith:         "the list service",
		Default:             "the list in the configuration, else none: HEALTH says no",
		IfWrong:             "refused connections, and workers taken for cold until a current list tells otherwise",
	},
	{
		Fact: FactWorkerStarts, Name: "workers' starts", Stored: "facts, every interval",
		SurvivesFleetOutage: true,
		CheckedWith:         "the list service and peers: the latest start counts",
		Default:             "started just now",
		IfWrong:             "a worker that did restart is found by refused connections, or taken for cold after a fleet-wide outage",
	},
	{
		Fact: FactCapacity, Name: "workers' capacity", Stored: "facts, every interval",
		MaxAge: 24 * time.Hour, NeedsClock: true, SurvivesFleetOutage: true,
		CheckedWith: "peers that serve; starts and queueing as they are reported",
		Default:     "one request at a cold worker, eight at a warm one",
		IfWrong:     "workers answer that they are full, and the estimate follows",
	},
	{
		Fact: FactSizes, Name: "request sizes and size intervals", Stored: "facts, every interval",
		MaxAge: 24 * time.Hour, NeedsClock: true, SurvivesFleetOutage: true,
		CheckedWith: "size hints as they come",
		Default:     "no size intervals before 50 hints",
		IfWrong:     "the intervals are cut again every 16 hints",
	},
	{
		Fact: FactBackoffs, Name: "ejected workers and zones", Stored: "facts, every interval",
		MaxAge: 8 * time.Second, NeedsClock: true,
		CheckedWith: "nobody",
		Default:     "none is ejected",
		IfWrong:     "a worker that is down is found by one request, a zone by three",
	},
	{
		Fact: FactDrains, Name: "drains in the endpoint list", Stored: "facts, every interval",
		SurvivesFleetOutage: true,
		CheckedWith:         "the list service and peers: a drain that anybody reports counts until the list service answers",
		Default:             "as the list says",
		IfWrong:             "a worker that is ready again is left out until the list service answers",
	},
	{
		Fact: FactManualDrain, Name: "drain by an operator", Stored: "life file, synced before LEAVE is answered",
		SurvivesFleetOutage: true,
		CheckedWith:         "nobody: it is the operator's decision",
		Default:             "not drained",
		IfWrong:             "JOIN takes clients again",
	},
	{
		Fact: FactKeys, Name: "keys of previous incarnations", Stored: "keys.N, synced before the first byte of the request is sent",
		SurvivesFleetOutage: true,
		CheckedWith:         "peers' keys; the number of keys in the facts and in heartbeats",
		Default:             "a marked repeat under an unknown key is an error for one dedup window",
		IfWrong:             "a repeat is an error, or goes to a dedup group that did not run it, for one dedup window",
	},
	{
		Fact: FactNonIdempotent, Name: "non-idempotent requests in flight", Stored: neverStored,
		CheckedWith: "nobody",
		Default:     "each may have run: its client decides, and it is never sent again",
		IfWrong:     "nothing: no dispatcher sends it again",
	},
	{
		Fact: FactQuotas, Name: "tenants' usage", Stored: "facts, every interval",
		MaxAge: time.Minute, NeedsClock: true, SurvivesFleetOutage: true,
		CheckedWith: "nobody",
		Default:     "every tenant is within its quota",
		IfWrong:     "usage settles within sixteen requests",
	},
	{
		Fact: FactWarmupSends, Name: "recent sends to cold workers", Stored: neverStored,
		CheckedWith: "nobody",
		Default:     "a cold worker's budget is used up: nothing goes there for one warm-up window",
		IfWrong:     "nothing: it is the most that it can have been",
	},
	{
		Fact: FactSettings, Name: "settings", Stored: "a hash, with the facts",
		SurvivesFleetOutage: true,
		CheckedWith:         "the configuration, which alone counts",
		Default:             "as configured",
		IfWrong:             "facts whose name is no longer in the settings are dropped",
	},
}

// RecordAge is the age of a stored record.
type RecordAge struct {
	Elapsed     time.Duration // by the wall clock
	ClockJumped bool          // the wall clock was set back since, so Elapsed is not meaningful
}

// maxClockStepBack is how far the wall clock may have been set back since a record was written without affecting trust.
const maxClockStepBack = 2 * time.Second

// NewRecordAge returns the age of a record. Both timestamps are wall clock times in Unix ms.
func NewRecordAge(written, now int64) RecordAge {
	elapsed := time.Duration(now-written) * time.Millisecond
	if elapsed < -maxClockStepBack {
		return RecordAge{ClockJumped: true}
	}
	return RecordAge{Elapsed: max(elapsed, 0)}
}

// The reasons why a stored fact is not trusted, in addition to TooOldError.
var (
	ErrClockJumped     = errors.New("the wall clock has jumped back since it was written")
	ErrFleetOutage     = errors.New("the whole fleet was down")
	ErrFactNeverStored = errors.New("never stored")
)

// TooOldError reports that a stored fact is older than the maximum age of its kind.
type TooOldError struct {
	Age    time.Duration
	MaxAge time.Duration
}

// Error returns a message with the age and the maximum age.
func (e *TooOldError) Error() string {
	return fmt.Sprintf("%v old, at most %v", e.Age.Round(time.Second), e.MaxAge)
}

// CheckTrust returns nil if a fact of the given age is trusted after the outage. Otherwise it returns the reason:
// ErrClockJumped, a TooOldError, ErrFleetOutage or ErrFactNeverStored.
func CheckTrust(fact Fact, age RecordAge, outage Outage) error {
	rule := &TrustRules[fact]
	switch {
	case rule.NeedsClock && age.ClockJumped:
		return ErrClockJumped
	case rule.MaxAge > 0 && age.Elapsed > rule.MaxAge:
		return &TooOldError{Age: age.Elapsed, MaxAge: rule.MaxAge}
	case !rule.SurvivesFleetOutage && outage == FleetWide:
		return ErrFleetOutage
	case !rule.survivesPowerLoss():
		return ErrFactNeverStored
	}
	return nil
}
