package message

// QueryStatus asks for this controller's status, for its operators. A StatusReply answers it.
type QueryStatus struct{ Reply uint64 }

func (QueryStatus) command() {}

// StatusReply is a controller's status.
type StatusReply struct {
	Reply uint64 `json:"-"`
	// Host is the controller that answers.
	Host    string `json:"host"`
	Healthy bool   `json:"healthy"`
	// Leader is the host that leads, as far as this controller knows.
	Leader        string       `json:"leader"`
	IsLeader      bool         `json:"is_leader"`
	IsShardLeader bool         `json:"is_owner"`
	Teams         []TeamStatus `json:"teams,omitempty"`
	// Shards is the shard map.
	Shards         []ShardStatus       `json:"shares,omitempty"`
	RemoteAttempts RemoteAttemptStatus `json:"wards"`
	// InternalErrors counts faults of the program itself, such as malformed requests.
	InternalErrors int `json:"defects"`
	// RejectedInputs counts invalid inputs from outside.
	RejectedInputs int `json:"bad_input"`
	// Controllers are the members by host.
	Controllers []string         `json:"nodes"`
	Workloads   []WorkloadStatus `json:"workloads,omitempty"`
	// Machines are those that this controller owns.
	Machines []MachineStatus `json:"machines,omitempty"`
	// Pipelines counts the jobs here that wait for others, and BlockingJobs are those that
	// most of them wait for.
	Pipelines    int                 `json:"pipelines,omitempty"`
	BlockingJobs []BlockingJobStatus `json:"behind,omitempty"`
	// WaitingJobs are jobs that are left waiting, the longest wait first.
	WaitingJobs []WaitingJobStatus `json:"left_waiting,omitempty"`
	// Migrations and GPUFreeCapacity are there while models are switched on.
	Migrations      *MigrationsStatus `json:"moves,omitempty"`
	GPUFreeCapacity []GPUFreeCapacity `json:"gpu_rooms,omitempty"`
}

func (StatusReply) effect() {}

// TeamStatus is a team and the shard leader that runs it.
type TeamStatus struct {
	Name string `json:"name"`
	// Owner is the shard leader's host.
	Owner string `json:"owner,omitempty"`
	// IsLocal says that this controller runs the team, and Ready that it has recovered the
	// team's jobs.
	IsLocal bool `json:"here,omitempty"`
	Ready   bool `json:"ready,omitempty"`
	// CPU is what the team's tasks take and wait for, if this controller runs it.
	CPU float64 `json:"cpu,omitempty"`
}

// ShardStatus is a shard of the shard map.
type ShardStatus struct {
	Name string `json:"name"`
	// Leader is the host of the shard's leader, and Alive says that its incarnation is a
	// member.
	Leader string `json:"holder"`
	Alive  bool   `json:"alive"`
	// Teams and Segments count what the shard has.
	Teams int `json:"teams"`
	// HoldsCatchAll says that whatever no other shard has belongs to this one.
	HoldsCatchAll bool `json:"rest,omitempty"`
	Segments      int  `json:"lots"`
}

// RemoteAttemptStatus counts attempts that run on the machines of another owner than their job's.
type RemoteAttemptStatus struct {
	// OnOthersMachines are attempts of jobs here.
	OnOthersMachines int `json:"afar"`
	// OthersHere are attempts on machines here.
	OthersHere int `json:"here"`
}

// WorkloadStatus sums up the open jobs of a workload.
type WorkloadStatus struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// Waiting, Live and Done count tasks.
	Waiting int `json:"waiting"`
	Live    int `json:"live"`
	Done    int `json:"done"`
	// TasksPerSecond is how many tasks are submitted.
	TasksPerSecond float64 `json:"tasks_per_s"`
	// RunToEstimate is the ratio of run times to their users' estimates.
	RunToEstimate float64 `json:"run_to_estimate"`
}

// MachineStatus is a machine and what runs on it.
type MachineStatus struct {
	ID          string `json:"id"`
	MachineType string `json:"flavour"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	// State is a word for operators, such as up, booting or faulty.
	State string `json:"state"`
	// Tasks counts the attempts on the machine.
	Tasks   int     `json:"tasks"`
	UsedCPU float64 `json:"used_cpu"`
	CPU     float64 `json:"cpu"`
	// LastHeartbeatAge is the time since the last heartbeat, as time.Duration prints it; ""
	// before the first.
	LastHeartbeatAge string `json:"heard"`
}

// BlockingJobStatus is a job that jobs here depend on.
type BlockingJobStatus struct {
	Job string `json:"job"`
	// Dependents counts the jobs that wait for it.
	Dependents int `json:"jobs"`
	// State is what is known of the job.
	State string `json:"state"`
}

// WaitingJobStatus is a job of which no task was placed for long, and why.
type WaitingJobStatus struct {
	Job      string `json:"job"`
	Team     string `json:"team"`
	Workload string `json:"workload"`
	// WaitedSeconds counts from when the job was ready, or when a task of it was last placed.
	WaitedSeconds float64 `json:"waited_s"`
	Reason        string  `json:"reason"`
}

// MigrationsStatus sums up the replica migrations of this controller.
type MigrationsStatus struct {
	// Plans counts the migration plans started, Moved the replicas that run on their new
	// machine, and Dropped the moves given up before their replica was stopped.
	Plans   int `json:"plans"`
	Moved   int `json:"moved"`
	Dropped int `json:"dropped"`
	// LongestDownSeconds is the longest time from a replica's stop until it ran again.
	LongestDownSeconds float64           `json:"longest_down_s"`
	InProgress         []MigrationStatus `json:"now,omitempty"`
}

// MigrationStatus is a replica migration in progress.
type MigrationStatus struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	// From and To are machines.
	From string `json:"from"`
	To   string `json:"to"`
	// For is the job for which the replica makes room.
	For   string `json:"for"`
	State string `json:"state"`
	// ExpectedDownSeconds is how long the replica is expected to be down.
	ExpectedDownSeconds float64 `json:"expected_down_s"`
	// GivenUpInSeconds is the time until the migration's deadline.
	GivenUpInSeconds float64 `json:"given_up_in_s"`
}

// GPUFreeCapacity is the free capacity on the machines with GPUs of a kind.
type GPUFreeCapacity struct {
	MachineType string `json:"flavour"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	Machines    int    `json:"hosts"`
	// EmptyMachines counts the machines all of whose GPUs a replica could have.
	EmptyMachines int `json:"whole"`
	// FreeGPUs counts the free GPUs, and FragmentedGPUs those of them that are on other
	// machines than the empty ones.
	FreeGPUs       float64 `json:"free_gpus"`
	FragmentedGPUs float64 `json:"gpus_in_pieces"`
	// LargestReplicaGPUs is the most GPUs that one replica could have now.
	LargestReplicaGPUs float64 `json:"largest_replica_gpus"`
}
