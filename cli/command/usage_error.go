package command

// usageError reports an invalid command line. No call was sent.
type usageError struct {
	message string
}

func (u *usageError) Error() string { return u.message }
