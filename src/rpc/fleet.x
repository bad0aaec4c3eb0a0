/* Fetches the VM list from the failure domain's watcher. */

const FLEET_TEXT_MAX = 255;
const FLEET_VMS_MAX = 20000;

typedef string fleet_address<FLEET_TEXT_MAX>;

struct fleet_vm {
	string address<FLEET_TEXT_MAX>;
	string role<FLEET_TEXT_MAX>;
	string domain<FLEET_TEXT_MAX>;
	string partner<FLEET_TEXT_MAX>;
	string deployment<FLEET_TEXT_MAX>;
	string state<FLEET_TEXT_MAX>;
};

/* view 0 asks for the whole list. */
struct fleet_fetch_args {
	unsigned hyper view;
	unsigned hyper sequence;
};

/*
 * whole: vms is the whole list. Otherwise vms holds the changed entries and
 * removed the addresses that left since the sequence asked for.
 */
struct fleet_fetch_result {
	bool available;
	bool whole;
	unsigned hyper view;
	unsigned hyper sequence;
	fleet_vm vms<FLEET_VMS_MAX>;
	fleet_address removed<FLEET_VMS_MAX>;
};
