package command

// mistake is an error of the command line. No call was sent.
type mistake struct {
	message string
}

func (m *mistake) Error() string { return m.message }
