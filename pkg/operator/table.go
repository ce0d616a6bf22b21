package operator

import (
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Table is the answer to a query.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t *Table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

func (t *Table) columnIndex(name string) (int, error) {
	for i, c := range t.Columns {
		if c == name {
			return i, nil
		}
	}
	hint := ""
	if suggestion := nearest(name, t.Columns); suggestion != "" {
		hint = "; did you mean " + suggestion + "?"
	}
	return 0, errors.NotValidf("column %q: the columns are %s%s:", name, strings.Join(t.Columns, ", "), hint)
}

// refine applies the conditions, grouping and limit of a query.
func (t *Table) refine(s *Show) error {
	for _, w := range s.Where {
		if err := t.filter(w); err != nil {
			return errors.Trace(err)
		}
	}
	if s.By != "" {
		if err := t.groupBy(s.By); err != nil {
			return errors.Trace(err)
		}
	}
	if s.Limit != nil && *s.Limit >= 0 && *s.Limit < len(t.Rows) {
		t.Rows = t.Rows[:*s.Limit]
	}
	return nil
}

func (t *Table) filter(w *Where) error {
	column, op := w.Column, w.Op
	if op == "on" {
		column, op = "target", "="
	}
	i, err := t.columnIndex(column)
	if err != nil {
		return errors.Trace(err)
	}
	var rows [][]string
	for _, row := range t.Rows {
		if matches(row[i], op, w.Value) {
			rows = append(rows, row)
		}
	}
	t.Rows = rows
	return nil
}

// matches compares cell and value as numbers if both are numeric, and as strings
// otherwise. For = and !=, a value that ends with * matches a prefix.
func matches(cell, op, value string) bool {
	order := strings.Compare(cell, value)
	x, errX := strconv.ParseFloat(cell, 64)
	y, errY := strconv.ParseFloat(value, 64)
	if errX == nil && errY == nil {
		order = compareNumbers(x, y)
	}
	equal := order == 0
	if prefix, ok := strings.CutSuffix(value, "*"); ok {
		equal = strings.HasPrefix(cell, prefix)
	}
	switch op {
	case "=":
		return equal
	case "!=":
		return !equal
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

func compareNumbers(x, y float64) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func (t *Table) groupBy(name string) error {
	i, err := t.columnIndex(name)
	if err != nil {
		return errors.Trace(err)
	}
	counts := make(map[string]int)
	for _, row := range t.Rows {
		counts[row[i]]++
	}
	t.Columns = []string{name, "count"}
	t.Rows = nil
	for value, n := range counts {
		t.add(value, strconv.Itoa(n))
	}
	sort.Slice(t.Rows, func(a, b int) bool {
		x, y := counts[t.Rows[a][0]], counts[t.Rows[b][0]]
		return x > y || x == y && t.Rows[a][0] < t.Rows[b][0]
	})
	return nil
}
