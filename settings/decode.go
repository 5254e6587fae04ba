package settings

import (
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"

	"rhubarbstall.example/api/codes"
)

// decode fills a value from parsed text. It is stricter than encoding/json, which
// reports an unknown field without its path, keeps the last of two equal names,
// ignores case in names and treats null as an absent value: decode refuses all
// of these and reports the path.
func decode(problems *problemList, v *hujson.Value, into reflect.Value, path *docPath) {
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		decode(problems, v, into.Elem(), path)
	case reflect.Struct:
		decodeStruct(problems, v, into, path)
	case reflect.Map:
		decodeMap(problems, v, into, path)
	case reflect.Slice:
		decodeSlice(problems, v, into, path)
	default:
		decodeLiteral(problems, v, into, path)
	}
}

func decodeStruct(problems *problemList, v *hujson.Value, into reflect.Value, path *docPath) {
	members, ok := objectMembers(problems, v, path)
	if !ok {
		return
	}
	fields := jsonFields(into.Type())
	var seen uint64
	for i := range members {
		name := memberName(&members[i])
		memberPath := path.join(name)
		index, ok := fields[name]
		switch {
		case !ok:
			problems.add(codes.SettingsInvalid, memberPath.String(), "unknown field")
		case seen&(1<<index) != 0:
			problems.add(codes.SettingsInvalid, memberPath.String(), "is written twice")
		default:
			seen |= 1 << index
			decode(problems, &members[i].Value, into.Field(index), memberPath)
		}
	}
}

func decodeMap(problems *problemList, v *hujson.Value, into reflect.Value, path *docPath) {
	members, ok := objectMembers(problems, v, path)
	if !ok {
		return
	}
	into.Set(reflect.MakeMapWithSize(into.Type(), len(members)))
	for i := range members {
		name := reflect.ValueOf(memberName(&members[i]))
		memberPath := path.join(name.String())
		if into.MapIndex(name).IsValid() {
			problems.add(codes.SettingsInvalid, memberPath.String(), "is written twice")
			continue
		}
		elem := reflect.New(into.Type().Elem()).Elem()
		decode(problems, &members[i].Value, elem, memberPath)
		into.SetMapIndex(name, elem)
	}
}

func decodeSlice(problems *problemList, v *hujson.Value, into reflect.Value, path *docPath) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		problems.add(codes.SettingsInvalid, path.String(), "must be a list, not %s", describeValue(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		decode(problems, &array.Elements[i], into.Index(i), path.join(strconv.Itoa(i)))
	}
}

func decodeLiteral(problems *problemList, v *hujson.Value, into reflect.Value, path *docPath) {
	literal, _ := v.Value.(hujson.Literal)
	kind := hujson.Kind(0)
	if literal != nil {
		kind = literal.Kind()
	}
	switch {
	case into.Kind() == reflect.String && kind == '"':
		into.SetString(literal.String())
		return
	case into.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		into.SetBool(kind == 't')
		return
	case into.CanInt() && kind == '0':
		if n, err := strconv.ParseInt(string(literal), 10, into.Type().Bits()); err == nil {
			into.SetInt(n)
			return
		}
	}
	problems.add(codes.SettingsInvalid, path.String(), "must be %s, not %s", describeType(into.Kind()), describeValue(v))
}

func objectMembers(problems *problemList, v *hujson.Value, path *docPath) ([]hujson.ObjectMember, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		problems.add(codes.SettingsInvalid, path.String(), "must be an object, not %s", describeValue(v))
		return nil, false
	}
	return object.Members, true
}

// memberName returns the name of a member. Nearly all names have no escapes and
// need no JSON decoding.
func memberName(m *hujson.ObjectMember) string {
	literal := m.Name.Value.(hujson.Literal)
	for _, c := range literal[1 : len(literal)-1] {
		if c == '\\' || c >= 0x80 {
			return literal.String()
		}
	}
	return string(literal[1 : len(literal)-1])
}
