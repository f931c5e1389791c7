package record

// Prewarmed is the record of the images on some of a shard's machines. It has the number at the end
// of each machine's name instead of the name, to save space.
type Prewarmed struct {
	// MachinePrefix is the common part of the machines' names before the number.
	MachinePrefix string `msgpack:"p"`
	// NumberWidth is the number of digits in the names, including leading zeros.
	NumberWidth int              `msgpack:"w"`
	Images      []PrewarmedImage `msgpack:"i"`
}

// PrewarmedImage is an image and the machines that have fetched it.
type PrewarmedImage struct {
	//lint:ignore U1000 its tag stores the fields as a list, without names
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	// GB is the size of the image in GB.
	GB float64
	// Machines are the numbers at the end of the machines' names.
	Machines []int
}
