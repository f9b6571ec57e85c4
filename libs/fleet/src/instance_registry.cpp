#include "fleet/instance_registry.h"

#include <string_view>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr std::string_view registry_prefix = "knapweedknot/instances/";
constexpr duration retry_delay = milliseconds(400);

std::string key_of(const instance_id& instance) {
    return std::string(registry_prefix) + instance.value;
}

} // namespace

instance_registry::instance_registry(loop& event_loop, store_client& client, mesh& peer_mesh)
    : owner(event_loop), store(client), network(peer_mesh) {}

void instance_registry::start() {
    this->write_entry();
}

void instance_registry::write_entry() {
    const peer_info& self = this->network.self();
    this->store.put(key_of(self.instance), to_string(self.peers_address),
                    [this](const result<write_result>& outcome) {
                        if (!outcome) {
                            log_event(log_level::warning, "registration_failed",
                                      {{"detail", outcome.error().detail}});
                            this->retry_timer =
                                this->owner.after(retry_delay, [this] { this->write_entry(); });
                            return;
                        }
                        this->revision = outcome->revision;
                        this->read_entries("");
                    });
}

void instance_registry::read_entries(const std::string& after) {
    this->store.list(
        std::string(registry_prefix), after, read_mode::linearizable,
        [this, after](const result<store_page>& page) {
            if (!page) {
                log_event(log_level::warning, "registry_unread", {{"detail", page.error().detail}});
                this->retry_timer =
                    this->owner.after(retry_delay, [this, after] { this->read_entries(after); });
                return;
            }
            for (const store_item& item : page->items) {
                if (const auto address = parse_endpoint(item.value.data); address) {
                    this->network.add_address(*address, false);
                }
            }
            if (page->has_more && !page->items.empty()) {
                this->read_entries(page->items.back().key);
            }
        });
}

void instance_registry::deregister() {
    if (this->revision == 0) {
        return;
    }
    this->store.erase(key_of(this->network.self().instance), this->revision,
                      [](const result<write_result>& outcome) {
                          if (!outcome) {
                              // The entry stays until the next process of this name overwrites
                              // it.
                              log_event(log_level::warning, "registration_left",
                                        {{"detail", outcome.error().detail}});
                          }
                      });
}

} // namespace knapweedknot
