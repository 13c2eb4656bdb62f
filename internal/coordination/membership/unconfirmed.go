package membership

// maxUnconfirmed is the number of members that are known only from their messages, which anybody can send. A
// process that starts is in the list within seconds.
const maxUnconfirmed = 64

// Confirmed reports whether the list has the member, or it has responded.
func (m *Member) Confirmed() bool { return m.Listed || !m.LastContact.IsZero() }

// responded records that a member has responded.
func (t *Table) responded(m *Member) {
	if !m.Confirmed() {
		t.unconfirmed = max(t.unconfirmed-1, 0)
	}
	m.Failures = 0
	m.LastContact = t.now()
}

// ObserveRevision records the configuration revision in a message. It adds the sender
// if the instance list lacks it.
func (t *Table) ObserveRevision(addr string, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if addr == "" || addr == t.self {
		return
	}
	if _, known := t.members[addr]; !known {
		if t.unconfirmed >= maxUnconfirmed {
			return
		}
		t.unconfirmed++
	}
	m := t.member(addr)
	m.Revision = max(m.Revision, revision)
}
