package operatorconfig

import "go.uber.org/zap"

// Origin is where a version comes from: the store, or another VM.
type Origin struct {
	// VM is empty for the store.
	VM string
}

// field returns the log field that names the VM a version comes from. Versions from the store have no such field.
func (o Origin) field() zap.Field {
	if o.VM == "" {
		return zap.Skip()
	}
	return zap.String("from", o.VM)
}
