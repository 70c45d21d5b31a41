#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

/// @brief Self-signed certificates for tests.
namespace tarragonspar::testing {

/// @brief Writes a new key and a self-signed certificate for the name `tarragonspar`.
inline void write_certificate(const std::string& certificate_file, const std::string& key_file) {
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"),
                                                                  EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 24 * 3600);
    X509_set_pubkey(certificate.get(), key.get());
    auto* name = X509_get_subject_name(certificate.get());
    const auto* text = reinterpret_cast<const unsigned char*>("tarragonspar");
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    for (const auto& [kind, value] : {std::pair{NID_subject_alt_name, "DNS:tarragonspar"},
                                      std::pair{NID_basic_constraints, "critical,CA:TRUE"}}) {
        auto* extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
        X509_add_ext(certificate.get(), extension, -1);
        X509_EXTENSION_free(extension);
    }
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    auto* out = std::fopen(certificate_file.c_str(), "w");
    PEM_write_X509(out, certificate.get());
    std::fclose(out);
    out = std::fopen(key_file.c_str(), "w");
    PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(out);
}

} // namespace tarragonspar::testing
