// Stand-ins for clients, runners and the platform's store, and helpers to start the project's daemons. Each case is one program.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standins
{

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point programStart = Clock::now();

/** Seconds since the start of the program. */
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - programStart).count();
}

inline void sleepUntil(double at)
{
    const double left = at - now();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/** The file record.txt of the case. */
class Record
{
private:
    std::mutex m_mutex;
    std::ofstream m_file;

public:
    void open(const std::string &path)
    {
        m_file.open(path, std::ios::trunc);
    }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f  ", now());
        m_file << stamp << text << "\n" << std::flush;
    }
};

inline Record record;

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** Ends the program if the case can't run. */
[[noreturn]] inline void giveUp(const std::string &reason)
{
    record.line("the case could not run: " + reason);
    std::fprintf(stderr, "the case could not run: %s\n", reason.c_str());
    _exit(2);
}

struct Message
{
    /** Request line or status line. */
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string get(const std::string &name) const
    {
        for (const auto &field : fields) {
            if (strcasecmp(field.first.c_str(), name.c_str()) == 0) {
                return field.second;
            }
        }
        return "";
    }
    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i) {
            begin = start.find(' ', begin) + 1;
        }
        return start.substr(begin, start.find(' ', begin) - begin);
    }
    std::string method() const
    {
        return word(0);
    }
    std::string target() const
    {
        return word(1);
    }
    int status() const
    {
        return std::atoi(word(1).c_str());
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

/** A connection with blocking reads and writes. */
class Connection
{
private:
    int m_fd;
    std::string m_buffer;

public:
    /** Nothing more is sent on it. */
    bool muted = false;

    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int fd() const
    {
        return m_fd;
    }

    /** Makes the next close a reset. */
    void resetOnClose()
    {
        const linger option{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

    bool write(const std::string &data)
    {
        std::size_t sent = 0;
        while (sent < data.size()) {
            const ssize_t count = ::send(m_fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** Reads more into the buffer. Returns false at the end of the connection, after a reset or a time-out. */
    bool fill(double timeout = 600)
    {
        pollfd entry{m_fd, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(timeout * 1000)) != 1) {
            return false;
        }
        char buffer[16384];
        const ssize_t count = ::recv(m_fd, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    std::string &buffer()
    {
        return m_buffer;
    }

    bool readHead(Message &message, double timeout = 600)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeout)) {
                return false;
            }
        }
        message = Message();
        std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t position = head.find("\r\n");
        message.start = head.substr(0, position);
        position += 2;
        while (position < head.size()) {
            const std::size_t lineEnd = head.find("\r\n", position);
            const std::string line = head.substr(position, lineEnd - position);
            const std::size_t colon = line.find(':');
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            message.fields.emplace_back(line.substr(0, colon), line.substr(value));
            position = lineEnd + 2;
        }
        return true;
    }

    bool readBytes(std::size_t count, std::string &bytes, double timeout = 600)
    {
        while (m_buffer.size() < count) {
            if (!fill(timeout)) {
                return false;
            }
        }
        bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    /** Reads a message whose body has a length. */
    bool readMessage(Message &message, double timeout = 600)
    {
        if (!readHead(message, timeout)) {
            return false;
        }
        const std::string length = message.get("Content-Length");
        return length.empty() || readBytes(static_cast<std::size_t>(std::atoll(length.c_str())), message.body, timeout);
    }

    /** Reads one chunk of a chunked body; an empty one is the last. */
    bool readChunk(std::string &chunk, double timeout = 600)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(timeout)) {
                return false;
            }
        }
        const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        m_buffer.erase(0, end + 2);
        std::string rest;
        if (!readBytes(size + 2, rest, timeout)) {
            return false;
        }
        chunk = rest.substr(0, size);
        return true;
    }
};

inline std::unique_ptr<Connection> connectTo(const std::string &ip, int port, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) < 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Connection>(fd);
}

/** A server with a thread for each connection. */
class Server
{
public:
    using Handler = std::function<void(Connection &connection)>;

private:
    std::string m_ip;
    int m_port = 0;
    Handler m_handler;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<int> m_listener{-1};

    void acceptAll(int listener)
    {
        while (m_listener == listener) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd]() {
                Connection connection(fd);
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_open.insert(fd);
                }
                m_handler(connection);
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_open.erase(fd);
            }).detach();
        }
    }

public:
    Server(std::string ip, int port, Handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handler(std::move(handler))
    {
    }

    void open()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = socketAddress(m_ip, m_port);
        if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) < 0 || ::listen(fd, 128) < 0) {
            giveUp("can't listen on " + m_ip + ":" + std::to_string(m_port));
        }
        m_listener = fd;
        std::thread([this, fd]() {
            acceptAll(fd);
        }).detach();
    }

    /** What the end of the server's process does: its port closes, and its connections are reset. */
    void kill()
    {
        const int listener = m_listener.exchange(-1);
        ::shutdown(listener, SHUT_RDWR);
        ::close(listener);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int fd : m_open) {
            const linger option{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
            ::shutdown(fd, SHUT_RDWR);
        }
    }
};

/** A port that is free on all of the addresses. */
inline int freePort(const std::vector<std::string> &ips)
{
    static std::set<int> given;
    for (int attempt = 0; attempt < 200; ++attempt) {
        int port = 0;
        bool isFree = true;
        std::vector<int> held;
        for (const std::string &ip : ips) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address = socketAddress(ip, port);
            socklen_t length = sizeof address;
            held.push_back(fd);
            if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) < 0) {
                isFree = false;
                break;
            }
            getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
            port = ntohs(address.sin_port);
        }
        for (const int fd : held) {
            ::close(fd);
        }
        if (isFree && given.insert(port).second) {
            return port;
        }
    }
    giveUp("no free port");
}

inline std::string base64Encode(const std::string &text)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits = (bits << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j > text.size() ? '=' : letters[(bits >> (18 - 6 * j)) & 63U];
        }
    }
    return result;
}

inline std::string base64Decode(const std::string &text)
{
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        int value = -1;
        if (letter >= 'A' && letter <= 'Z') {
            value = letter - 'A';
        } else if (letter >= 'a' && letter <= 'z') {
            value = letter - 'a' + 26;
        } else if (letter >= '0' && letter <= '9') {
            value = letter - '0' + 52;
        } else if (letter == '+') {
            value = 62;
        } else if (letter == '/') {
            value = 63;
        } else {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>((bits >> count) & 255U);
        }
    }
    return result;
}

/** The platform's store. Each daemon reaches it through a door of its own, so that it can turn single machines away. */
class Store
{
public:
    struct Door
    {
        std::string ip;
        int port = 0;
        std::unique_ptr<Server> server;
        /** Whether calls get 503. */
        std::atomic<bool> isClosed{false};
        /** Whether responses are lost: a connection on which one is lost delivers nothing further. */
        std::atomic<bool> isMute{false};

        std::string address() const
        {
            return ip + ":" + std::to_string(port);
        }
    };

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, json>> m_tables;
    std::int64_t m_version = 0;
    std::int64_t m_era = 1;
    std::map<std::string, std::map<std::string, json>> m_copiedTables;
    std::int64_t m_copiedVersion = 0;
    std::vector<std::unique_ptr<Door>> m_doors;

    static std::string parameter(const std::string &target, const std::string &name)
    {
        std::size_t position = target.find('?');
        while (position != std::string::npos) {
            const std::size_t next = target.find('&', position + 1);
            const std::string pair = target.substr(position + 1, next == std::string::npos ? next : next - position - 1);
            if (pair.rfind(name + "=", 0) == 0) {
                return pair.substr(name.size() + 1);
            }
            position = next;
        }
        return "";
    }

    std::vector<json> rowsAfter(const std::string &table, std::int64_t after)
    {
        std::vector<json> rows;
        for (const auto &row : m_tables[table]) {
            if (row.second.at("ver").get<std::int64_t>() > after) {
                rows.push_back(row.second);
            }
        }
        std::sort(rows.begin(), rows.end(), [](const json &first, const json &second) {
            return first.at("ver").get<std::int64_t>() < second.at("ver").get<std::int64_t>();
        });
        return rows;
    }

    void respond(Door &door, Connection &connection, int status, const json &rows, bool isTruncated = false)
    {
        if (door.isMute) {
            connection.muted = true;
        }
        if (connection.muted) {
            return;
        }
        const json body = {{"rows", rows}, {"truncated", isTruncated}, {"ver", m_version}, {"nowMs", static_cast<std::int64_t>(now() * 1000) + 50000}};
        const std::string text = body.dump();
        connection.write("HTTP/1.1 " + std::to_string(status) + " Any\r\nStore-Era: " + std::to_string(m_era)
                         + "\r\nContent-Type: application/json\r\nContent-Length: "
                         + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    std::int64_t versionOf(const std::string &table, const std::string &key)
    {
        const auto found = m_tables[table].find(key);
        return found == m_tables[table].end() || found->second.value("deleted", false) ? 0 : found->second.at("ver").get<std::int64_t>();
    }

    void write(const std::string &table, const std::string &key, const std::string &value, bool isDeleted)
    {
        json row = {{"table", table}, {"part", ""}, {"key", key}, {"value", base64Encode(value)}, {"ver", m_version}};
        if (isDeleted) {
            row["deleted"] = true;
        }
        m_tables[table][key] = row;
    }

    void handle(Door &door, Connection &connection, const Message &request)
    {
        if (door.isClosed) {
            connection.write("HTTP/1.1 503 Any\r\nStore-Era: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const std::string target = request.target();
        // RFC 9112, section 3: a request-target has no control characters.
        if (std::any_of(target.begin(), target.end(), [](unsigned char letter) {
                return letter <= 0x20 || letter == 0x7f;
            })) {
            record.line("the store answers 400 to a request whose target has a control character");
            connection.write("HTTP/1.1 400 Bad Request\r\nStore-Era: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const std::string table = parameter(target, "table");
        std::unique_lock<std::mutex> lock(m_mutex);
        if (target.rfind("/citronspar/rows-feed", 0) == 0) {
            const std::int64_t after = std::atoll(parameter(target, "after").c_str());
            if (after > m_version) {
                respond(door, connection, 410, json::array());
                return;
            }
            const double until = now() + std::atof(parameter(target, "waitMs").c_str()) / 1000;
            while (rowsAfter(table, after).empty() && now() < until && !door.isClosed) {
                m_changed.wait_for(lock, std::chrono::duration<double>(std::min(until - now(), 0.05)));
            }
            if (door.isClosed) {
                connection.write("HTTP/1.1 503 Any\r\nStore-Era: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            const std::vector<json> rows = rowsAfter(table, after);
            respond(door, connection, 200, rows);
            if (table == "servers" && !rows.empty()) {
                ++listAnswers;
            }
        } else if (target.rfind("/citronspar/rows-get", 0) == 0) {
            const std::string from = parameter(target, "from");
            const std::size_t limit = parameter(target, "limit").empty() ? 500 : std::strtoul(parameter(target, "limit").c_str(), nullptr, 10);
            json rows = json::array();
            bool isTruncated = false;
            for (const auto &row : m_tables[table]) {
                if (row.first < from || row.second.value("deleted", false)) {
                    continue;
                }
                if (rows.size() == std::min<std::size_t>(limit, 500)) {
                    isTruncated = true;
                    break;
                }
                rows.push_back(row.second);
            }
            respond(door, connection, 200, rows, isTruncated);
        } else {
            const json body = json::parse(request.body, nullptr, false);
            if (!body.is_object()) {
                connection.write("HTTP/1.1 400 Any\r\nStore-Era: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            for (const json &row : body.value("expected", json::array())) {
                if (versionOf(row.at("table"), row.at("key")) != row.value("ver", std::int64_t(0))) {
                    respond(door, connection, 412, json::array());
                    return;
                }
            }
            ++m_version;
            for (const json &row : body.value("puts", json::array())) {
                write(row.at("table"), row.at("key"), base64Decode(row.at("value")), false);
            }
            for (const json &row : body.value("remove", json::array())) {
                write(row.at("table"), row.at("key"), "", true);
            }
            m_changed.notify_all();
            respond(door, connection, 200, json::array());
        }
    }

public:
    /** The answers that told of changes in the table of runners. */
    std::atomic<int> listAnswers{0};

    Door &addDoor(const std::string &ip)
    {
        m_doors.push_back(std::make_unique<Door>());
        Door &door = *m_doors.back();
        door.ip = ip;
        door.port = freePort({ip});
        door.server = std::make_unique<Server>(ip, door.port, [this, &door](Connection &connection) {
            Message request;
            while (connection.readMessage(request)) {
                handle(door, connection, request);
            }
        });
        door.server->open();
        return door;
    }

    /** Keeps a copy of all rows, from which the store may come back. */
    void copy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copiedTables = m_tables;
        m_copiedVersion = m_version;
    }

    /** The store goes away: its ports are closed and its connections reset. */
    void goAway()
    {
        for (const std::unique_ptr<Door> &door : m_doors) {
            door->server->kill();
        }
    }

    /** Comes back from the copy, in a new era. */
    void comeBack()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_tables = m_copiedTables;
            m_version = m_copiedVersion;
            ++m_era;
        }
        for (const std::unique_ptr<Door> &door : m_doors) {
            door->server->open();
        }
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_version;
        write(table, key, value, false);
        m_changed.notify_all();
    }

    void drop(const std::string &table, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_version;
        write(table, key, "", true);
        m_changed.notify_all();
    }
};

/** The project's daemons, as separate processes. */
class Daemons
{
private:
    std::string m_folder;
    std::vector<pid_t> m_pids;

public:
    Daemons()
    {
        char path[] = "/tmp/citronspar-review-XXXXXX";
        if (::mkdtemp(path) == nullptr) {
            giveUp("no temporary folder");
        }
        m_folder = path;
    }

    const std::string &folder() const
    {
        return m_folder;
    }

    pid_t start(const json &settings)
    {
        const std::string name = settings.at("daemon");
        const std::string file = m_folder + "/" + name + ".json";
        std::ofstream(file) << settings.dump(2);
        const std::string log = m_folder + "/" + name + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl("target/bin/citronspard", "target/bin/citronspard", "--settings", file.c_str(), nullptr);
            _exit(127);
        }
        m_pids.push_back(pid);
        record.line("started " + name + ": target/bin/citronspard --settings " + name + ".json");
        return pid;
    }

    void stopAll()
    {
        for (const pid_t pid : m_pids) {
            ::kill(pid, SIGKILL);
        }
        for (const pid_t pid : m_pids) {
            ::waitpid(pid, nullptr, 0);
        }
        m_pids.clear();
    }

    /** Returns whether the process has ended. */
    static bool hasEnded(pid_t pid)
    {
        siginfo_t info{};
        return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == pid;
    }

    /** Stops all, removes the temporary folder unless KEEP is set, and ends the program. */
    [[noreturn]] void finish(int status)
    {
        stopAll();
        if (std::getenv("KEEP") == nullptr) {
            for (const char *end : {".json", ".log"}) {
                const std::string pattern = "rm -f " + m_folder + "/*" + end;
                if (std::system(pattern.c_str()) != 0) {
                    break;
                }
            }
            ::rmdir(m_folder.c_str());
        } else {
            std::fprintf(stderr, "kept %s\n", m_folder.c_str());
        }
        std::fprintf(stderr, "%s\n", status == 1 ? "the rule was broken" : (status == 0 ? "the rule held" : "the case could not run"));
        _exit(status);
    }
};

/** Settings as deploy/entry.json.template gives them, with the bounds of the first site. */
inline json entrySettings(const std::string &name, const std::string &ip, int front, int ready, int metrics, int peer, const std::string &store)
{
    return {{"role", "entry"},
            {"daemon", name},
            {"zone", "zone-a"},
            {"httpListen", ip + ":" + std::to_string(front)},
            {"peerListen", ip + ":" + std::to_string(peer)},
            {"table", store},
            {"fleetSecret", "citronspar-daemons-of-one-fleet"},
            {"logLayout", "json"},
            {"logLevel", "WARN"},
            {"platform",
             {{"readyListen", ip + ":" + std::to_string(ready)},
              {"metricsListen", ip + ":" + std::to_string(metrics)},
              {"keyRevocationMs", 5000},
              {"stopGraceS", 8},
              {"drainLimitMs", 2000},
              {"weightsDeadlineMs", 8000},
              {"retryShare", 0.2},
              {"retrySlack", 56},
              {"quotaOvershoot", 0.1},
              {"quotaSlack", 110000},
              {"quotaWindowS", 8},
              {"peerPort", peer}}}};
}

/** Settings as deploy/endpoint.json.template gives them. */
inline json endpointSettings(const std::string &name, const std::string &ip, int engine, int metrics, int peer, const std::string &store)
{
    return {{"role", "endpoint"},
            {"daemon", name},
            {"zone", "zone-a"},
            {"endpoint", name},
            {"engine", ip + ":" + std::to_string(engine)},
            {"peerListen", ip + ":" + std::to_string(peer)},
            {"table", store},
            {"fleetSecret", "citronspar-daemons-of-one-fleet"},
            {"logLayout", "json"},
            {"logLevel", "WARN"},
            {"platform",
             {{"stopGraceS", 8},
              {"weightsDeadlineMs", 8000},
              {"quotaOvershoot", 0.1},
              {"quotaSlack", 110000},
              {"quotaWindowS", 8},
              {"metricsListen", ip + ":" + std::to_string(metrics)},
              {"peerPort", peer}}}};
}

/** Waits until the daemon says that it is ready. */
inline void waitUntilReady(const std::string &ip, int port)
{
    const double until = now() + 15;
    while (now() < until) {
        const std::unique_ptr<Connection> connection = connectTo(ip, port);
        Message response;
        if (connection != nullptr && connection->write("GET /citronspar/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
            && connection->readMessage(response, 2) && response.status() == 200) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    giveUp("the entry daemon did not become ready");
}

inline void begin(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        _exit(2);
    }
    record.open(std::string(argv[1]) + "/record.txt");
    record.line(hasTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

}
