package codes

import (
	"net/http"
	"slices"
)

// Info describes a code.
type Info struct {
	// Name is the stable name, for use by programs.
	Name string
	// Status is the HTTP status.
	Status int
	// Meaning is one sentence for users.
	Meaning string
	// Action tells users what they can do.
	Action string
}

var infoByCode = map[Code]Info{
	MalformedBody:     {"malformed_body", http.StatusBadRequest, "The body is not valid JSON, or a field is unknown or has the wrong type.", "Correct the body; the message names the field."},
	InvalidValue:      {"invalid_value", http.StatusBadRequest, "A value is outside its allowed range.", "Correct the value; the message names it."},
	BodyTooLarge:      {"body_too_large", http.StatusRequestEntityTooLarge, "The body is larger than the limit.", "Send less, or raise the limit in the settings."},
	UnknownKind:       {"unknown_kind", http.StatusBadRequest, "The kind of work is not defined for the department.", "Check the name with `rhubarbstall settings explain`."},
	UnknownDepartment: {"unknown_department", http.StatusBadRequest, "The department is not in the settings tree.", "Check the path with `rhubarbstall settings get`."},
	DeadlinePassed:    {"deadline_passed", http.StatusBadRequest, "The deadline had already passed on arrival.", "Send a deadline above zero."},
	NeverFits:         {"never_fits", http.StatusUnprocessableEntity, "A task is larger than any worker, or a gang than the limit of its client account, so the job can never run.", "Reduce the resource that the message names."},
	KeyMissing:        {"key_missing", http.StatusBadRequest, "A request that must not be repeated has no idempotency key.", "Send an idempotency key."},
	KeyReused:         {"key_reused", http.StatusConflict, "The idempotency key was used before for a different body.", "Use a new key for new work."},
	NotFound:          {"not_found", http.StatusNotFound, "The named object does not exist.", "Check the identity."},
	JobTooLarge:       {"job_too_large", http.StatusRequestEntityTooLarge, "The stored job would be larger than the limit.", "Move the payload elsewhere and pass a reference."},
	JobGone:           {"job_gone", http.StatusGone, "The job does not exist, or its state is no longer kept.", "Check the identity; submit the job again if it is to run."},
	Unauthorized:      {"unauthorized", http.StatusUnauthorized, "The request has no API key, or one that is not known in the configuration in force.", "Send a key of your client account; ask the operator which keys are valid."},
	JobIDTaken:        {"job_id_taken", http.StatusConflict, "The id is that of another job. Nothing was run.", "Submit the job under another id."},

	QueueFull:       {"queue_full", http.StatusTooManyRequests, "The request could not start within the patience of its kind.", "Try again after the given time."},
	NoUpstream:      {"no_upstream", http.StatusServiceUnavailable, "No upstream can take the request.", "Try again after the given time."},
	WaitedTooLong:   {"waited_too_long", http.StatusGatewayTimeout, "The deadline passed while the request waited; it was not run.", "Try again, or raise the deadline."},
	ShuttingDown:    {"shutting_down", http.StatusServiceUnavailable, "This entry VM is shutting down.", "Send to another entry VM."},
	WriteBudget:     {"write_budget", http.StatusServiceUnavailable, "The budget of platform writes is used up.", "Try again after the given time."},
	RetryBudget:     {"retry_budget", http.StatusServiceUnavailable, "The upstream refused and the retry budget is used up; the request was not run.", "Try again after the given time."},
	TooLate:         {"too_late", http.StatusTooManyRequests, "The work that goes before the job takes longer than the job may wait, so it could not finish in its expected time. It was not run.", "Try again after the given time."},
	BeyondWeight:    {"beyond_weight", http.StatusTooManyRequests, "The client account submits more jobs per second than its weight while work waits. The job was not run.", "Try again after the given time, or submit less."},
	TooManyRequests: {"too_many_requests", http.StatusTooManyRequests, "The kind has used its share of this entry VM.", "Try again after the given time."},

	InProgress:     {"in_progress", http.StatusConflict, "An earlier submission with the same key is still running.", "Ask again later with the same key."},
	OutcomeUnknown: {"outcome_unknown", http.StatusBadGateway, "The request may have run; no whole answer arrived.", "Check the effect before you send it with a new key."},
	CallerGone:     {"caller_gone", 499, "The caller closed the connection; the request may have run.", "None."},
	AnswerNotKept:  {"answer_not_kept", http.StatusGone, "An earlier submission with the same key ran and was answered; the answer was too large to keep.", "Do not send it again; fetch the result from the upstream."},

	PlatformUnavailable:   {"platform_unavailable", http.StatusServiceUnavailable, "The platform's key-value service cannot be reached.", "Try again after the given time."},
	NoZoneScheduler:       {"no_zone_scheduler", http.StatusServiceUnavailable, "The availability zone has no zone scheduler at the moment.", "Try again after the given time."},
	NotReady:              {"not_ready", http.StatusServiceUnavailable, "This entry VM has no settings yet.", "Send to another entry VM."},
	RecordFull:            {"record_full", http.StatusServiceUnavailable, "The record that would hold the work is full.", "Try again after the given time."},
	ZoneUnreachable:       {"zone_unreachable", http.StatusServiceUnavailable, "The home availability zone of the job cannot be reached.", "Try again later, or ask an entry VM of that zone."},
	ConfigurationOutdated: {"configuration_outdated", http.StatusServiceUnavailable, "This entry VM cannot confirm that its configuration is the newest, so it accepts no API key. Nothing was run.", "Send to another entry VM, or try again after the given time."},

	SettingsSyntax:   {"settings_syntax", http.StatusBadRequest, "The settings are not valid JSON with comments.", "Correct the line that the message names."},
	SettingsInvalid:  {"settings_invalid", http.StatusUnprocessableEntity, "The settings are refused as a whole; the old revision stays in force.", "Correct the path that the message names."},
	SettingsConflict: {"settings_conflict", http.StatusConflict, "Another change was accepted first.", "Look at the differences, then apply again on the new revision."},
	SettingsTooLarge: {"settings_too_large", http.StatusRequestEntityTooLarge, "The settings are larger than the platform stores.", "Write only the differences from the parent."},
	SettingsWidens:   {"settings_widens", http.StatusUnprocessableEntity, "A child widens a limit of its parent.", "Lower the value, or raise the parent's."},

	Internal: {"internal", http.StatusInternalServerError, "A fault of rhubarbstall itself.", "Report it with the request identity."},
}

// Info returns the description of c, or the description of Internal if c is unknown.
func (c Code) Info() Info {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	return infoByCode[Internal]
}

// All returns every code in ascending order.
func All() []Code {
	all := make([]Code, 0, len(infoByCode))
	for c := range infoByCode {
		all = append(all, c)
	}
	slices.Sort(all)
	return all
}
