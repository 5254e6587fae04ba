package httpapi

import (
	"context"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/daemon/internal/settingsync"
)

// GetSettings implements oas.Handler.
func (h *handler) GetSettings(context.Context) (*oas.Settings, error) {
	document, revision, ok := h.services.Settings.Raw()
	if !ok {
		return nil, codes.NotReady.Errorf("no settings are in force yet")
	}
	return &oas.Settings{Revision: int64(revision), Document: string(document)}, nil
}

// ApplySettings implements oas.Handler.
func (h *handler) ApplySettings(ctx context.Context, in *oas.SettingsChange) (*oas.SettingsResult, error) {
	res, err := h.services.Settings.Apply(ctx, settingsync.Change{
		ExpectedRevision: uint64(in.ExpectedRevision),
		Document:         []byte(in.Document),
		Author:           in.Author.Or(""),
		Comment:          in.Comment.Or(""),
		DryRun:           in.DryRun.Or(false),
	})
	if err != nil {
		return nil, err
	}
	changes := res.Changes
	if changes == nil {
		changes = []string{}
	}
	return &oas.SettingsResult{Revision: int64(res.Revision), Changes: changes}, nil
}

// ListSettingsHistory implements oas.Handler.
func (h *handler) ListSettingsHistory(ctx context.Context) ([]oas.SettingsMark, error) {
	history, err := h.services.Settings.History(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]oas.SettingsMark, 0, len(history))
	for _, e := range history {
		mark := oas.SettingsMark{Revision: int64(e.Revision), At: e.At}
		if e.Author != "" {
			mark.Author = oas.NewOptString(e.Author)
		}
		if e.Comment != "" {
			mark.Comment = oas.NewOptString(e.Comment)
		}
		out = append(out, mark)
	}
	return out, nil
}

// ExplainSettings implements oas.Handler.
func (h *handler) ExplainSettings(_ context.Context, params oas.ExplainSettingsParams) ([]oas.EffectiveValue, error) {
	doc, _, ok := h.services.Settings.Current()
	if !ok {
		return nil, codes.NotReady.Errorf("no settings are in force yet")
	}
	if !doc.HasDepartment(params.Department) {
		return nil, codes.UnknownDepartment.Errorf("department %q is not in the settings tree", params.Department)
	}
	values := doc.Explain(params.Department, params.Kind)
	if len(values) == 0 {
		return nil, codes.UnknownKind.Errorf("kind %q is not defined for department %q", params.Kind, params.Department)
	}
	out := make([]oas.EffectiveValue, 0, len(values))
	for _, v := range values {
		out = append(out, oas.EffectiveValue{Field: v.Field, Value: v.Value, Source: v.Source})
	}
	return out, nil
}
