// What the scripts of this review share: a store, runners, clients and the start of the project's daemons.
// Everything listens on loopback addresses and free ports. Blocking sockets, one thread a connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab
{

using nlohmann::json;

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

/** record.txt of the case. */
class Record
{
    std::mutex m_mutex;
    FILE *m_file = nullptr;

public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        va_list arguments;
        va_start(arguments, format);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8.3f  ", now());
            std::vfprintf(m_file, format, arguments);
            std::fputc('\n', m_file);
            std::fflush(m_file);
        }
        va_end(arguments);
    }
};

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Listens at a free port of the address, and returns it in port. */
inline int listenAt(const std::string &ip, int &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = socketAddress(ip, port);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(descriptor, 256) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return descriptor;
}

/** A free port below those that the system gives to outgoing connections; each is returned once. */
inline int freePort(const std::string &ip)
{
    constexpr int firstPort = 20000;
    constexpr int portCount = 12000;
    static std::atomic<int> next{static_cast<int>(::getpid() * 97 % portCount)};
    for (int i = 0; i < portCount; ++i) {
        int port = firstPort + next++ % portCount;
        const int descriptor = listenAt(ip, port);
        if (descriptor >= 0) {
            ::close(descriptor);
            return port;
        }
    }
    return 0;
}

inline std::string withPort(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

inline bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct Message
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char *name) const
    {
        for (const auto &header : headers) {
            if (strcasecmp(header.first.c_str(), name) == 0) {
                return header.second;
            }
        }
        return std::string();
    }

    std::string method() const
    {
        return firstLine.substr(0, firstLine.find(' '));
    }

    std::string target() const
    {
        const std::size_t begin = firstLine.find(' ') + 1;
        return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
    }

    int status() const
    {
        return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0;
    }
};

/** Parses a head that ends with an empty line. */
inline Message parseHead(const std::string &head)
{
    Message message;
    std::size_t begin = 0;
    bool isFirst = true;
    while (begin < head.size()) {
        const std::size_t end = head.find("\r\n", begin);
        const std::string line = head.substr(begin, end - begin);
        begin = end == std::string::npos ? head.size() : end + 2;
        if (isFirst) {
            message.firstLine = line;
            isFirst = false;
        } else if (!line.empty()) {
            const std::size_t colon = line.find(':');
            std::size_t value = colon == std::string::npos ? line.size() : colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            message.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
    }
    return message;
}

/** Reads a message whose body has a length. Returns whether it is whole. */
inline bool readMessage(int descriptor, std::string &input, Message &message)
{
    char buffer[16384];
    std::size_t end = std::string::npos;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return false;
        }
        input.append(buffer, static_cast<std::size_t>(count));
    }
    message = parseHead(input.substr(0, end + 2));
    input.erase(0, end + 4);
    const std::size_t length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    while (input.size() < length) {
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return false;
        }
        input.append(buffer, static_cast<std::size_t>(count));
    }
    message.body = input.substr(0, length);
    input.erase(0, length);
    return true;
}

/** Accepts connections and calls the handler for each, in a thread of its own. */
class Server
{
public:
    using Handler = std::function<void(int descriptor)>;

private:
    int m_listener = -1;
    int m_port = 0;
    std::string m_ip;

public:
    Server(const std::string &ip, Handler handler, int port = 0)
        : m_port(port)
        , m_ip(ip)
    {
        m_listener = listenAt(ip, m_port);
        std::thread([listener = m_listener, handler]() {
            while (true) {
                const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0) {
                    return;
                }
                const int on = 1;
                setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([descriptor, handler]() {
                    handler(descriptor);
                    ::close(descriptor);
                }).detach();
            }
        }).detach();
    }

    std::string address() const
    {
        return withPort(m_ip, m_port);
    }

    int port() const
    {
        return m_port;
    }
};

inline std::string encodeBase64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            result += i + k <= text.size() ? digits[value >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return result;
}

/**
 * An address of the store for one machine. While it is silent, no response leaves by it, and a connection on which a response was lost
 * delivers nothing further.
 */
struct StoreDoor
{
    std::unique_ptr<Server> server;
    std::atomic<bool> isSilent{false};
};

/** The platform's store: tables of rows, feeds that wait, transactions. */
class Store
{
    struct Row
    {
        std::string value;
        std::int64_t version = 0;
        bool isDeleted = false;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::int64_t m_version = 0;
    StoreDoor m_door;

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t question = target.find('?');
        std::size_t begin = question == std::string::npos ? target.size() : question + 1;
        while (begin < target.size()) {
            const std::size_t end = std::min(target.find('&', begin), target.size());
            const std::string field = target.substr(begin, end - begin);
            begin = end + 1;
            if (field.rfind(name + "=", 0) == 0) {
                std::string decoded;
                for (std::size_t i = name.size() + 1; i < field.size(); ++i) {
                    if (field[i] == '%' && i + 2 < field.size()) {
                        decoded += static_cast<char>(std::strtol(field.substr(i + 1, 2).c_str(), nullptr, 16));
                        i += 2;
                    } else {
                        decoded += field[i];
                    }
                }
                return decoded;
            }
        }
        return std::string();
    }

    json rowsOf(const std::string &table, std::int64_t after, const std::string &from, bool withDeleted)
    {
        json rows = json::array();
        for (const auto &entry : m_tables[table]) {
            if (entry.second.version > after && entry.first >= from && (withDeleted || !entry.second.isDeleted)) {
                json row = {{"table", table}, {"part", ""}, {"key", entry.first}, {"value", encodeBase64(entry.second.value)}, {"ver", entry.second.version}};
                if (entry.second.isDeleted) {
                    row["deleted"] = true;
                }
                rows.push_back(row);
            }
        }
        return rows;
    }

    /** Returns whether the response was sent. */
    bool respond(const StoreDoor &door, int descriptor, int status, const json &rows)
    {
        if (door.isSilent) {
            return false;
        }
        const json body = {{"rows", rows}, {"truncated", false}, {"ver", m_version}, {"nowMs", static_cast<std::int64_t>(now() * 1000) + 1000000}};
        const std::string text = body.dump();
        return sendAll(descriptor, "HTTP/1.1 " + std::to_string(status) + " Any\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                                       + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    static std::string decodeBase64(const std::string &text)
    {
        std::string result;
        std::uint32_t value = 0;
        int bits = 0;
        for (const char c : text) {
            int digit = -1;
            if (c >= 'A' && c <= 'Z') {
                digit = c - 'A';
            } else if (c >= 'a' && c <= 'z') {
                digit = c - 'a' + 26;
            } else if (c >= '0' && c <= '9') {
                digit = c - '0' + 52;
            } else if (c == '+') {
                digit = 62;
            } else if (c == '/') {
                digit = 63;
            }
            if (digit < 0) {
                continue;
            }
            value = value << 6U | static_cast<std::uint32_t>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                result += static_cast<char>(value >> bits & 255U);
            }
        }
        return result;
    }

    bool transact(const StoreDoor &door, int descriptor, const json &call)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const json &row : call.value("expected", json::array())) {
            const Row &known = m_tables[row.at("table").get<std::string>()][row.at("key").get<std::string>()];
            if ((known.isDeleted ? 0 : known.version) != row.at("ver").get<std::int64_t>()) {
                return respond(door, descriptor, 412, json::array());
            }
        }
        ++m_version;
        for (const json &row : call.value("puts", json::array())) {
            m_tables[row.at("table").get<std::string>()][row.at("key").get<std::string>()]
                = Row{decodeBase64(row.at("value").get<std::string>()), m_version, false};
        }
        for (const json &row : call.value("remove", json::array())) {
            m_tables[row.at("table").get<std::string>()][row.at("key").get<std::string>()] = Row{"", m_version, true};
        }
        m_changed.notify_all();
        return respond(door, descriptor, 200, json::array());
    }

    void serve(const StoreDoor &door, int descriptor)
    {
        std::string input;
        Message request;
        bool isDead = false;
        while (readMessage(descriptor, input, request)) {
            if (isDead) {
                continue;
            }
            const std::string target = request.target();
            const std::string table = parameter(target, "table");
            if (target.find("rows-tx") != std::string::npos) {
                isDead = !transact(door, descriptor, json::parse(request.body, nullptr, false));
            } else if (target.find("rows-get") != std::string::npos) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                isDead = !respond(door, descriptor, 200, rowsOf(table, 0, parameter(target, "from"), false));
            } else if (target.find("rows-feed") != std::string::npos) {
                const std::int64_t after = std::atoll(parameter(target, "after").c_str());
                const auto wait = std::chrono::milliseconds(std::atoll(parameter(target, "waitMs").c_str()));
                std::unique_lock<std::mutex> lock(m_mutex);
                m_changed.wait_for(lock, wait, [&]() {
                    return !rowsOf(table, after, "", true).empty();
                });
                isDead = !respond(door, descriptor, 200, rowsOf(table, after, "", true));
            } else {
                const std::lock_guard<std::mutex> lock(m_mutex);
                isDead = !respond(door, descriptor, 404, json::array());
            }
        }
    }

public:
    Store()
    {
        open(m_door);
    }

    void open(StoreDoor &door)
    {
        door.server = std::make_unique<Server>("127.0.0.1", [this, &door](int descriptor) {
            serve(door, descriptor);
        });
    }

    std::string address() const
    {
        return m_door.server->address();
    }

    void put(const std::string &table, const std::string &key, const json &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tables[table][key] = Row{value.dump(), ++m_version, false};
        m_changed.notify_all();
    }
};

/** Writes the entry of a runner. */
inline void publishRunner(Store &store, const std::string &id, const std::string &service, const std::string &address, int slots,
                          const json &models = nullptr)
{
    json entry = {{"service", service}, {"addr", address}, {"zone", "zone-a"}, {"version", "v1"}, {"slots", slots},
                  {"state", "ready"},   {"coldLeftMs", 0}, {"sequence", 1},    {"born", 1700000000000}};
    if (!models.is_null()) {
        entry["models"] = models;
    }
    store.put("servers", id, entry);
}

inline json makeRoute(const std::string &name, const std::string &service, const std::string &kind, int timeoutMs)
{
    return {{"name", name},     {"host", "h.example"}, {"prefix", "/" + name + "/"}, {"routeKind", kind}, {"timeoutMs", timeoutMs},
            {"targetLatencyMs", 500}, {"priority", 1}, {"service", service}, {"maxAttempts", kind == "idempotent" ? 2 : 1},
            {"public", false},  {"sticky", false},     {"resumable", false}, {"gapTargetMs", 500}};
}

inline json makeLimits()
{
    return {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
}

/** A daemon of the project, started with the command of the deploy file. */
class Daemon
{
    pid_t m_pid = 0;
    std::string m_path;
    std::string m_log;

public:
    std::string front;
    int frontPort = 0;
    std::string ip;
    std::string name;

    Daemon() = default;
    Daemon(const Daemon &) = delete;

    static json platformSettings()
    {
        return {{"keyRevocationMs", 5000}, {"stopGraceS", 8},       {"drainLimitMs", 2000},  {"weightsDeadlineMs", 8000},
                {"retryShare", 0.2},       {"retrySlack", 56},      {"quotaOvershoot", 0.1}, {"quotaSlack", 110000},
                {"quotaWindowS", 8},       {"memoryMb", 110},       {"maxDescriptors", 4100}};
    }

    void prepareEntry(const std::string &folder, const std::string &daemonName, const std::string &ownIp, const Store &store, int peerPort,
                      const json &changes = json::object())
    {
        name = daemonName;
        ip = ownIp;
        frontPort = freePort(ip);
        front = withPort(ip, frontPort);
        json platform = platformSettings();
        platform["readyListen"] = withPort(ip, freePort(ip));
        platform["metricsListen"] = withPort(ip, freePort(ip));
        platform["peerPort"] = peerPort;
        platform.update(changes);
        write(folder,
              {{"role", "entry"}, {"daemon", name}, {"zone", "zone-a"}, {"httpListen", front}, {"peerListen", withPort(ip, peerPort)},
               {"table", store.address()}, {"fleetSecret", "citronspar-daemons-of-one-fleet"}, {"logLayout", "json"}, {"logLevel", "WARN"},
               {"platform", platform}});
    }

    void prepareEndpoint(const std::string &folder, const std::string &daemonName, const std::string &ownIp, const StoreDoor &door,
                         int peerPort, const std::string &engine)
    {
        name = daemonName;
        ip = ownIp;
        json platform = platformSettings();
        platform.erase("drainLimitMs");
        platform.erase("retryShare");
        platform.erase("retrySlack");
        platform["metricsListen"] = withPort(ip, freePort(ip));
        platform["peerPort"] = peerPort;
        write(folder,
              {{"role", "endpoint"}, {"daemon", name}, {"zone", "zone-a"}, {"endpoint", name}, {"engine", engine},
               {"peerListen", withPort(ip, peerPort)}, {"table", door.server->address()}, {"fleetSecret", "citronspar-daemons-of-one-fleet"},
               {"logLayout", "json"}, {"logLevel", "WARN"}, {"platform", platform}});
    }

    void write(const std::string &folder, const json &settings)
    {
        m_path = folder + "/" + name + ".json";
        m_log = folder + "/" + name + ".log";
        std::ofstream(m_path) << settings.dump(2);
    }

    bool start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            // Ends with this process, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::execl("target/bin/citronspard", "target/bin/citronspard", "--settings", m_path.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        return m_pid > 0;
    }

    void signal(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    /** Kills the process and waits for its end. */
    void end()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = 0;
        }
        return m_pid > 0;
    }

    pid_t pid() const
    {
        return m_pid;
    }

    ~Daemon()
    {
        end();
    }
};

struct ClientSettings
{
    int receiveBuffer = 0;
    /** As on Ethernet; 0 leaves that of loopback. */
    int segment = 0;
};

inline int connectTo(const std::string &ip, int port, const ClientSettings &settings = ClientSettings())
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (settings.receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &settings.receiveBuffer, sizeof settings.receiveBuffer);
    }
    if (settings.segment > 0) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &settings.segment, sizeof settings.segment);
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline std::string requestText(const std::string &method, const std::string &path, const std::string &id, const std::string &key,
                               int deadlineMs, const std::string &body = std::string(), const std::string &more = std::string())
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nCitronspar-Request-Id: " + id
        + "\r\nCitronspar-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n" + more;
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/** Waits until the daemon answers a request with 200. */
inline bool waitUntilServing(const Daemon &daemon, const std::string &path, const std::string &key, double seconds)
{
    const double end = now() + seconds;
    for (int i = 0; now() < end; ++i) {
        const int descriptor = connectTo(daemon.ip, daemon.frontPort);
        if (descriptor >= 0) {
            const timeval limit{3, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            sendAll(descriptor, requestText("GET", path, "ready-" + daemon.name + "-" + std::to_string(i), key, 3000));
            std::string input;
            Message message;
            const bool isAnswered = readMessage(descriptor, input, message);
            ::close(descriptor);
            if (isAnswered && message.status() == 200) {
                return true;
            }
        }
        sleepFor(0.1);
    }
    return false;
}

inline bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}
