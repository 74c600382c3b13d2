package backendserver

// matchingKeys returns the keys of the rows that meet the WHERE clause.
func (x *execution) matchingKeys() ([]string, error) {
	s := x.ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	match, exactKey, err := x.matcher()
	if err != nil {
		return nil, err
	}
	return x.store().matchingKeys(x.tx, x.def, match, exactKey), nil
}

// matcher returns a predicate for the WHERE clause, in which the right sides
// are evaluated only once. If the clause compares all key columns for equality,
// exactKey is the key of the only row that can match; otherwise it is empty.
func (x *execution) matcher() (match func([]value) bool, exactKey string, err error) {
	type comparison struct {
		column int
		op     string
		value  value
	}
	var comparisons []comparison
	equalTo := make([]value, len(x.def.Columns))
	for _, c := range x.st.where {
		i, e := x.def.columnIndex(c.column)
		if e != nil {
			return nil, "", e
		}
		v, err := x.eval(c.expr, nil)
		if err == nil {
			v, err = canonical(v, x.def.Columns[i].OID)
		}
		if err != nil {
			return nil, "", err
		}
		comparisons = append(comparisons, comparison{i, c.op, v})
		if c.op == "=" {
			equalTo[i] = v
		}
	}
	exactKey = x.def.rowKey(equalTo)
	for _, i := range x.def.Key {
		if equalTo[i] == nil {
			exactKey = ""
			break
		}
	}
	return func(row []value) bool {
		for _, t := range comparisons {
			if row[t.column] == nil || t.value == nil {
				return false
			}
			if n := compareValues(row[t.column], t.value, x.def.Columns[t.column].OID); !satisfies(n, t.op) {
				return false
			}
		}
		return true
	}, exactKey, nil
}

// satisfies reports whether the comparison result n (negative, 0 or positive)
// meets the operator.
func satisfies(n int, op string) bool {
	switch op {
	case "=":
		return n == 0
	case "<":
		return n < 0
	case "<=":
		return n <= 0
	case ">":
		return n > 0
	case ">=":
		return n >= 0
	}
	return n != 0
}
