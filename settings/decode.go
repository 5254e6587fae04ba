package settings

import (
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"

	"rhubarbstall.example/api/codes"
)

// decode fills a value from parsed text. encoding/json names no path for an
// unknown field, keeps the last of two equal names, matches names without regard
// to case and takes null for an absent value; all of these are refused here.
func decode(found *problems, v *hujson.Value, into reflect.Value, path *docPath) {
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		decode(found, v, into.Elem(), path)
	case reflect.Struct:
		decodeStruct(found, v, into, path)
	case reflect.Map:
		decodeMap(found, v, into, path)
	case reflect.Slice:
		decodeSlice(found, v, into, path)
	default:
		decodeLiteral(found, v, into, path)
	}
}

func decodeStruct(found *problems, v *hujson.Value, into reflect.Value, path *docPath) {
	members, ok := membersOf(found, v, path)
	if !ok {
		return
	}
	fields := jsonFields(into.Type())
	var seen uint64
	for i := range members {
		name := nameOf(&members[i])
		memberPath := path.join(name)
		index, ok := fields[name]
		switch {
		case !ok:
			found.add(codes.SettingsInvalid, memberPath.String(), "unknown field")
		case seen&(1<<index) != 0:
			found.add(codes.SettingsInvalid, memberPath.String(), "is written twice")
		default:
			seen |= 1 << index
			decode(found, &members[i].Value, into.Field(index), memberPath)
		}
	}
}

func decodeMap(found *problems, v *hujson.Value, into reflect.Value, path *docPath) {
	members, ok := membersOf(found, v, path)
	if !ok {
		return
	}
	into.Set(reflect.MakeMapWithSize(into.Type(), len(members)))
	for i := range members {
		name := reflect.ValueOf(nameOf(&members[i]))
		memberPath := path.join(name.String())
		if into.MapIndex(name).IsValid() {
			found.add(codes.SettingsInvalid, memberPath.String(), "is written twice")
			continue
		}
		elem := reflect.New(into.Type().Elem()).Elem()
		decode(found, &members[i].Value, elem, memberPath)
		into.SetMapIndex(name, elem)
	}
}

func decodeSlice(found *problems, v *hujson.Value, into reflect.Value, path *docPath) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		found.add(codes.SettingsInvalid, path.String(), "must be a list, not %s", kindName(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		decode(found, &array.Elements[i], into.Index(i), path.join(strconv.Itoa(i)))
	}
}

func decodeLiteral(found *problems, v *hujson.Value, into reflect.Value, path *docPath) {
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
	found.add(codes.SettingsInvalid, path.String(), "must be %s, not %s", typeName(into.Kind()), kindName(v))
}

func membersOf(found *problems, v *hujson.Value, path *docPath) ([]hujson.ObjectMember, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		found.add(codes.SettingsInvalid, path.String(), "must be an object, not %s", kindName(v))
		return nil, false
	}
	return object.Members, true
}

// nameOf returns the name of a member. Names without escapes, which are nearly
// all, need no JSON decoding.
func nameOf(m *hujson.ObjectMember) string {
	literal := m.Name.Value.(hujson.Literal)
	for _, c := range literal[1 : len(literal)-1] {
		if c == '\\' || c >= 0x80 {
			return literal.String()
		}
	}
	return string(literal[1 : len(literal)-1])
}
