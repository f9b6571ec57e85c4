#include "fleet/target_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log.h"

namespace knapweedknot {

namespace {

constexpr duration retry_delay = milliseconds(250);
constexpr duration sweep_interval = milliseconds(250);

std::string_view state_text(const known_target& target) {
    if (target.vanished) {
        return "vanished";
    }
    return target.registration.state == target_state::ready ? "ready" : "draining";
}

void log_target(std::string_view event, const known_target& target) {
    log_event(log_level::info, event,
              {{"target", target.registration.id.value},
               {"service", target.registration.service.value},
               {"address", target.registration.ip + ':' + std::to_string(target.registration.port)},
               {"state", std::string(state_text(target))}});
}

} // namespace

target_directory::target_directory(loop& event_loop, store_client& client, std::string key_prefix,
                                   target_decoder decoder,
                                   const target_directory_options& directory_options)
    : owner(event_loop), store(client), prefix(std::move(key_prefix)), decode(std::move(decoder)),
      options(directory_options) {}

void target_directory::start() {
    this->sweep = this->owner.every(sweep_interval, [this] { this->drop_vanished(); });
    this->read_all();
}

const std::map<target_id, known_target>&
target_directory::targets_of(const service_id& service) const {
    static const std::map<target_id, known_target> none;
    const auto found = this->by_service.find(service);
    return found == this->by_service.end() ? none : found->second;
}

std::optional<duration> target_directory::age(time_point now) const noexcept {
    return this->heard ? std::optional(now - *this->heard) : std::nullopt;
}

void target_directory::again(duration delay, void (target_directory::*step)()) {
    this->next = this->owner.after(delay, [this, step] { (this->*step)(); });
}

void target_directory::read_all() {
    this->read_page("", std::make_shared<std::vector<store_item>>(), std::nullopt);
}

void target_directory::read_page(const std::string& after,
                                 const std::shared_ptr<std::vector<store_item>>& items,
                                 std::optional<std::uint64_t> first_revision) {
    this->store.list(
        this->prefix, after, read_mode::linearizable,
        [this, items, first_revision](result<store_page> page) {
            if (!page) {
                this->again(retry_delay, &target_directory::read_all);
                return;
            }
            // Pages are no snapshot: changes since the first one are read again by the watch.
            const std::uint64_t revision = first_revision.value_or(page->store_revision);
            std::move(page->items.begin(), page->items.end(), std::back_inserter(*items));
            if (page->has_more && !items->empty()) {
                this->read_page(items->back().key, items, revision);
                return;
            }
            this->replace_all(*items);
            this->known_revision = revision;
            this->loaded = true;
            this->heard = boot_clock::now();
            this->watch();
        });
}

void target_directory::replace_all(const std::vector<store_item>& items) {
    std::set<target_id> listed;
    for (const store_item& item : items) {
        this->apply(item);
        if (item.key.size() > this->prefix.size()) {
            listed.insert(target_id{item.key.substr(this->prefix.size())});
        }
    }
    std::vector<target_id> missing;
    for (const auto& [id, service] : this->service_by_id) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const target_id& id : missing) {
        this->vanish(id);
    }
}

void target_directory::set_options(const target_directory_options& changed) {
    this->options = changed;
    if (this->waiting && this->options.watch_wait < *this->waiting) {
        this->watch();
    }
}

void target_directory::watch() {
    this->waiting = this->options.watch_wait;
    this->store.watch_prefix(
        this->prefix, this->known_revision, this->options.watch_wait,
        [this, number = ++this->last_watch](const result<store_changes>& changes) {
            if (number != this->last_watch) {
                return;
            }
            this->waiting.reset();
            if (!changes) {
                this->again(retry_delay, &target_directory::watch);
                return;
            }
            if (changes->history_lost) {
                log_event(log_level::info, "target_history_lost",
                          {{"revision", std::to_string(this->known_revision)}});
                this->again(duration::zero(), &target_directory::read_all);
                return;
            }
            for (const store_item& item : changes->items) {
                this->apply(item);
            }
            this->known_revision = std::max(this->known_revision, changes->store_revision);
            this->heard = boot_clock::now();
            this->again(changes->items.empty() ? duration::zero() : this->options.gather_time,
                        &target_directory::watch);
        });
}

void target_directory::apply(const store_item& item) {
    if (item.key.size() <= this->prefix.size()) {
        return;
    }
    const target_id id{item.key.substr(this->prefix.size())};
    if (item.value.revision == 0) {
        this->vanish(id);
        return;
    }
    auto registration = this->decode(id.value, item.value.data);
    if (!registration) {
        log_event(log_level::warning, "registration_unreadable",
                  {{"target", id.value}, {"problem", registration.error().detail}});
        this->vanish(id);
        return;
    }
    this->add(std::move(*registration));
}

void target_directory::add(registered_target&& registration) {
    const target_id id = registration.id;
    const service_id service = registration.service;
    if (const auto earlier = this->service_by_id.find(id);
        earlier != this->service_by_id.end() && earlier->second != service) {
        this->forget(earlier->second, id);
    }
    this->service_by_id[id] = service;
    const auto [place, is_new] = this->by_service[service].try_emplace(id);
    known_target& target = place->second;
    const bool is_other_run =
        is_new || target.registration.started_unix_ms != registration.started_unix_ms ||
        target.registration.ip != registration.ip || target.registration.port != registration.port;
    const bool is_news =
        is_other_run || target.vanished || target.registration.state != registration.state;
    if (is_other_run) {
        target.run = ++this->last_run;
        target.seen = boot_clock::now();
    }
    target.registration = std::move(registration);
    target.vanished.reset();
    if (is_news) {
        log_target("target_registered", target);
        this->changed(service);
    }
}

void target_directory::vanish(const target_id& id) {
    const auto found = this->service_by_id.find(id);
    if (found == this->service_by_id.end()) {
        return;
    }
    const service_id service = found->second;
    known_target& target = this->by_service.at(service).at(id);
    if (target.registration.state == target_state::draining) {
        this->forget(service, id);
    } else if (!target.vanished) {
        target.vanished = boot_clock::now();
        log_target("target_vanished", target);
        this->changed(service);
    }
}

void target_directory::forget(const service_id& service, const target_id& id) {
    auto& targets = this->by_service.at(service);
    if (const auto found = targets.find(id); found != targets.end()) {
        log_target("target_gone", found->second);
        targets.erase(found);
    }
    this->service_by_id.erase(id);
    this->changed(service);
}

void target_directory::drop_vanished() {
    const time_point now = boot_clock::now();
    std::vector<std::pair<service_id, target_id>> ended;
    for (const auto& [service, targets] : this->by_service) {
        for (const auto& [id, target] : targets) {
            if (target.vanished && now - *target.vanished > this->options.vanished_grace) {
                ended.emplace_back(service, id);
            }
        }
    }
    for (const auto& [service, id] : ended) {
        this->forget(service, id);
    }
}

void target_directory::changed(const service_id& service) {
    if (this->on_changed) {
        this->on_changed(service);
    }
}

} // namespace knapweedknot
