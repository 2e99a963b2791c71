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
	SurvivesFleetOutage bool          // still trusted if no peer serves (FleetWide)
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
		CheckedWith:         "the name in the configuration; the highest incarnation of that name that peers report",
		Default:             "one above the highest incarnation that peers report, or 1",
		IfWrong:             "peers report the higher incarnation, and this one is raised above it",
	},
	{
		Fact: FactEndpoints, Name: "endpoint list", Stored: "facts, every interval",
		SurvivesFleetOutage: true,
		CheckedWith:         "the discovery service",
		Default:             "the list in the configuration, otherwise none: HEALTH fails",
		IfWrong:             "connections are refused, and workers are treated as cold until a current list arrives",
	},
	{
		Fact: FactWorkerStarts, Name: "workers' starts", Stored: "facts, every interval",
		SurvivesFleetOutage: true,
		CheckedWith:         "the discovery service and peers: the latest start is used",
		Default:             "started just now",
		IfWrong:             "a restart is detected by refused connections, or assumed after a fleet-wide outage",
	},
	{
		Fact: FactCapacity, Name: "workers' capacity", Stored: "facts, every interval",
		MaxAge: 24 * time.Hour, NeedsClock: true, SurvivesFleetOutage: true,
		CheckedWith: "peers that serve; starts and queueing as they are reported",
		Default:     "one request at a cold worker, eight at a warm one",
		IfWrong:     "workers reject requests because they are full, and the estimate is reduced",
	},
	{
		Fact: FactSizes, Name: "request sizes and size intervals", Stored: "facts, every interval",
		MaxAge: 24 * time.Hour, NeedsClock: true, SurvivesFleetOutage: true,
		CheckedWith: "size hints of new requests",
		Default:     "no size intervals before 50 hints",
		IfWrong:     "the intervals are recomputed every 16 hints",
	},
	{
		Fact: FactBackoffs, Name: "ejected workers and zones", Stored: "facts, every interval",
		MaxAge: 8 * time.Second, NeedsClock: true,
		CheckedWith: "no other source",
		Default:     "none is ejected",
		IfWrong:     "one request detects a worker that is down, three requests a zone",
	},
	{
		Fact: FactDrains, Name: "drains in the endpoint list", Stored: "facts, every interval",
		SurvivesFleetOutage: true,
		CheckedWith:         "the discovery service and peers: any reported drain applies until the service answers",
		Default:             "as in the endpoint list",
		IfWrong:             "a worker that is ready again receives no requests until the discovery service answers",
	},
	{
		Fact: FactManualDrain, Name: "drain by an operator", Stored: "life file, synced before LEAVE is answered",
		SurvivesFleetOutage: true,
		CheckedWith:         "no other source: it is the operator's decision",
		Default:             "not drained",
		IfWrong:             "the operator ends the drain with JOIN",
	},
	{
		Fact: FactKeys, Name: "keys of previous incarnations", Stored: "keys.N, synced before the first byte of the request is sent",
		SurvivesFleetOutage: true,
		CheckedWith:         "peers' keys; the number of keys in the facts and in heartbeats",
		Default:             "a marked retry under an unknown key fails for one dedup window",
		IfWrong:             "for one dedup window, a retry fails or is sent to a dedup group that did not run the request",
	},
	{
		Fact: FactNonIdempotent, Name: "non-idempotent requests in flight", Stored: neverStored,
		CheckedWith: "no other source",
		Default:     "each may have run: it is never sent again, and its client decides whether to retry",
		IfWrong:     "no effect: no dispatcher sends it again",
	},
	{
		Fact: FactQuotas, Name: "tenants' usage", Stored: "facts, every interval",
		MaxAge: time.Minute, NeedsClock: true, SurvivesFleetOutage: true,
		CheckedWith: "no other source",
		Default:     "every tenant is within its quota",
		IfWrong:     "usage settles within sixteen requests",
	},
	{
		Fact: FactWarmupSends, Name: "recent sends to cold workers", Stored: neverStored,
		CheckedWith: "no other source",
		Default:     "a cold worker's budget is used up: no request is sent to it for one warm-up window",
		IfWrong:     "no effect: the assumed number of sends is the maximum",
	},
	{
		Fact: FactSettings, Name: "settings", Stored: "a hash, with the facts",
		SurvivesFleetOutage: true,
		CheckedWith:         "the configuration, which always takes precedence",
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
