// Package codes holds the numbered result codes of rhubarbstall.
//
// The first digit gives the group: 1 input, 2 admission and limits, 3 outcome
// of a request, 4 state of the system, 5 settings, 9 internal faults.
// docs/result-codes.md lists them for users; a test checks that it is up to date.
package codes

// Code is the number of a result.
type Code int

// Codes of invalid input.
const (
	MalformedBody     Code = 1001
	InvalidValue      Code = 1002
	BodyTooLarge      Code = 1003
	UnknownKind       Code = 1004
	UnknownDepartment Code = 1005
	DeadlinePassed    Code = 1006
	NeverFits         Code = 1007
	KeyMissing        Code = 1008
	KeyReused         Code = 1009
	NotFound          Code = 1010
	JobTooLarge       Code = 1011
	JobGone           Code = 1012
	Unauthorized      Code = 1013
	JobIDTaken        Code = 1014
)

// Codes of refusals by admission or a limit. Nothing was run.
const (
	QueueFull       Code = 2001
	NoUpstream      Code = 2002
	WaitedTooLong   Code = 2003
	ShuttingDown    Code = 2004
	WriteBudget     Code = 2006
	RetryBudget     Code = 2007
	TooManyRequests Code = 2008
	TooLate         Code = 2009
	BeyondWeight    Code = 2010
)

// Codes of requests that ended without a complete answer. A request may have run.
const (
	InProgress     Code = 3001
	OutcomeUnknown Code = 3002
	CallerGone     Code = 3003
	AnswerNotKept  Code = 3004
)

// Codes for a system state that does not allow the operation.
const (
	PlatformUnavailable Code = 4001
	NoZoneScheduler     Code = 4002
	NotReady            Code = 4003
	RecordFull          Code = 4004
	ZoneUnreachable     Code = 4005
	// ConfigurationOutdated refuses keys on an entry VM whose configuration may not be the newest.
	ConfigurationOutdated Code = 4006
)

// Codes of refused settings. The previous revision stays in force.
const (
	SettingsSyntax   Code = 5001
	SettingsInvalid  Code = 5002
	SettingsConflict Code = 5003
	SettingsTooLarge Code = 5004
	SettingsWidens   Code = 5005
)

// Internal is the code of an internal fault of rhubarbstall.
const Internal Code = 9001
