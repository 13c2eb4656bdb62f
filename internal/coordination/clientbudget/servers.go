package clientbudget

// hasSocket reports whether there is a socket for one more connection, of a caller or any other.
func (b *Budget) hasSocket(caller bool) bool {
	limit := b.limits.Sockets
	if limit == 0 {
		return true
	}
	if caller {
		limit = int(callersShare * float64(limit))
	}
	open := b.servers
	for _, c := range b.open {
		open += c.inUse()
	}
	return open < limit
}

// OpenServer counts a connection to a backend server that is about to be opened. It reports false, and
// counts nothing, if no socket is left for the request of a caller; a caller's connection without
// progress yields before that. The process's own calls are counted only. Each counted connection needs a
// call of CloseServer. A nil budget counts nothing.
func (b *Budget) OpenServer(forCaller bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	var victims []*Account
	now := b.clock()
	ok := !forCaller || b.hasSocket(false)
	if !ok {
		if victim := b.yieldConnection(b.open[Callers], now); victim != nil {
			victims = append(victims, victim)
		}
		ok = b.hasSocket(false)
	}
	if ok {
		b.servers++
	} else {
		b.log.refused(serverRefused)
	}
	b.log.write(now, b)
	b.mu.Unlock()
	wakeAll(victims)
	return ok
}

// CloseServer ends what OpenServer has counted.
func (b *Budget) CloseServer() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers--
}
