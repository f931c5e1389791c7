package controller

// String names the kinds and outcomes for logs and metrics.
func (k StoreRequestKind) String() string {
	return [...]string{"get", "list", "txn", "follow", "grant", "renew", "drop"}[k]
}

func (s StoreStatus) String() string {
	return [...]string{"ok", "not_found", "conflict", "gone", "no_grant", "refused", "bad", "unknown"}[s]
}

func (k CloudRequestKind) String() string {
	return [...]string{"types", "list", "rent", "return"}[k]
}

func (s CloudStatus) String() string {
	return [...]string{"ok", "no_capacity", "refused", "bad", "unknown"}[s]
}
