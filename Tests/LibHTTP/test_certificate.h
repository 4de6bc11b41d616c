// A self-signed certificate for 127.0.0.1, created for each test and removed
// afterwards.

#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

namespace carobbank {

class TestCertificate {
 public:
  TestCertificate() {
    std::string name =
        (std::filesystem::temp_directory_path() / "carobbank-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) {
      this->folder = name;
    }
    this->Write();
  }
  ~TestCertificate() {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  TestCertificate(const TestCertificate&) = delete;
  TestCertificate& operator=(const TestCertificate&) = delete;

  std::string CertificateFile() const {
    return (this->folder / "certificate.pem").string();
  }
  std::string KeyFile() const { return (this->folder / "key.pem").string(); }

 private:
  using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
  using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
  using File = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

  static void AddExtension(X509* certificate, int kind, const char* value) {
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* const extension =
        X509V3_EXT_conf_nid(nullptr, &context, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
  }

  void Write() const {
    constexpr long kValidSeconds = 3'600;
    const Key key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const Certificate certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -kValidSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kValidSeconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* const name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    AddExtension(certificate.get(), NID_subject_alt_name, "IP:127.0.0.1");
    AddExtension(certificate.get(), NID_basic_constraints, "CA:TRUE");
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    const File certificate_file(
        std::fopen(this->CertificateFile().c_str(), "w"), &std::fclose);
    PEM_write_X509(certificate_file.get(), certificate.get());
    const File key_file(std::fopen(this->KeyFile().c_str(), "w"), &std::fclose);
    PEM_write_PrivateKey(key_file.get(), key.get(), nullptr, nullptr, 0,
                         nullptr, nullptr);
  }

  std::filesystem::path folder;
};

}  // namespace carobbank
